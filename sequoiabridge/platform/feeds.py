"""Feeds of the operator's configuration and of the list of upstreams in the platform's store."""

from __future__ import annotations

from ..balancing.routes import RouteTable
from ..balancing.upstream import UpstreamRecord
from ..relay.feeds import Feed
from ..store.rows import Changes, Rows, StoredRow
from ..store.tables import Tables
from ..untrusted_json import as_object, parse_json
from .configuration import decode_route_table
from .entries import decode_upstream_record
from .names import CONFIGURATION_KEY, CONFIGURATION_TABLE, UPSTREAM_TABLE


class ConfigurationFeed(Feed[RouteTable]):
    """The operator's configuration; one row holds the newest version."""

    name = "configuration"

    def __init__(self, tables: Tables):
        super().__init__()
        self.tables = tables

    async def read_all(self) -> Rows:
        return await self.tables.rows(CONFIGURATION_TABLE)

    async def read_changes(self, after: int, wait: float) -> Changes:
        return await self.tables.changes(CONFIGURATION_TABLE, after, wait)

    async def check_changes(self, after: int) -> Changes:
        return await self.tables.changes(CONFIGURATION_TABLE, after, 0.0, fresh=True)

    def decode(self, row: StoredRow) -> RouteTable | None:
        if row.key != CONFIGURATION_KEY:
            return None
        return decode_route_table(as_object(parse_json(row.value or b""), "the configuration"))


class UpstreamFeed(Feed[UpstreamRecord]):
    """The list of upstreams; one row for each, by id."""

    name = "upstreams"

    def __init__(self, tables: Tables):
        super().__init__()
        self.tables = tables

    async def read_all(self) -> Rows:
        return await self.tables.rows(UPSTREAM_TABLE)

    async def read_changes(self, after: int, wait: float) -> Changes:
        return await self.tables.changes(UPSTREAM_TABLE, after, wait)

    async def check_changes(self, after: int) -> Changes:
        return await self.tables.changes(UPSTREAM_TABLE, after, 0.0, fresh=True)

    def decode(self, row: StoredRow) -> UpstreamRecord:
        return decode_upstream_record(row)
