"""The operator's configuration and the list of upstreams, read from the platform's store."""

from __future__ import annotations

import json

from ..relay.feeds import Feed
from ..relay.routes import RouteTable
from ..relay.upstream import UpstreamRecord
from ..store.rows import Changes, Rows, StoredRow
from ..store.tables import Tables
from .configuration import route_table
from .names import CONFIGURATION_KEY, CONFIGURATION_TABLE, UPSTREAM_TABLE

DRAINING = "draining"


class ConfigurationFeed(Feed[RouteTable]):
    """The operator's configuration: a single row that holds the newest whole."""

    name = "configuration"

    def __init__(self, tables: Tables):
        super().__init__()
        self.tables = tables

    async def read_all(self) -> Rows:
        return await self.tables.rows(CONFIGURATION_TABLE)

    async def read_changes(self, after: int, wait: float) -> Changes:
        return await self.tables.changes(CONFIGURATION_TABLE, after, wait)

    def decode(self, row: StoredRow) -> RouteTable | None:
        if row.key != CONFIGURATION_KEY:
            return None
        return route_table(json.loads(row.value))


class UpstreamFeed(Feed[UpstreamRecord]):
    """The list of upstreams: a row for each, by id."""

    name = "upstreams"

    def __init__(self, tables: Tables):
        super().__init__()
        self.tables = tables

    async def read_all(self) -> Rows:
        return await self.tables.rows(UPSTREAM_TABLE)

    async def read_changes(self, after: int, wait: float) -> Changes:
        return await self.tables.changes(UPSTREAM_TABLE, after, wait)

    def decode(self, row: StoredRow) -> UpstreamRecord:
        entry = json.loads(row.value)
        info, status = entry.get("info", {}), entry.get("status", {})
        return UpstreamRecord(
            id=row.key,
            service=info["service"],
            address=entry["address"],
            data_centre=info.get("zone", ""),
            slots=int(info.get("slots", 1)),
            draining=status.get("state") == DRAINING,
            cold_for=float(status.get("cold_remaining_s", 0.0)),
            version=str(info.get("version", "")),
        )
