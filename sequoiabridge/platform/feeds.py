"""The operator's configuration and the list of upstreams, read from the platform's store."""

from __future__ import annotations

import json

from ..exceptions import BadEntry
from ..relay.feeds import Feed, Update
from ..relay.routes import RouteTable
from ..relay.upstream import UpstreamRecord
from ..store.rows import Rows, StoredRow
from .client import PlatformClient
from .configuration import route_table
from .names import CONFIGURATION_KEY, CONFIGURATION_TABLE, UPSTREAM_TABLE

DRAINING = "draining"


class ConfigurationFeed(Feed[RouteTable]):
    """The operator's configuration: a single row that holds the newest whole."""

    name = "configuration"

    def __init__(self, client: PlatformClient):
        self.client = client

    async def snapshot(self) -> Update[RouteTable]:
        return _update(await self.client.rows(CONFIGURATION_TABLE), _configuration)

    async def changes(self, after: int, wait: float) -> Update[RouteTable]:
        changes = await self.client.changes(CONFIGURATION_TABLE, after, wait)
        return _update(changes, _configuration)


class UpstreamFeed(Feed[UpstreamRecord]):
    """The list of upstreams: a row for each, by id."""

    name = "upstreams"

    def __init__(self, client: PlatformClient):
        self.client = client

    async def snapshot(self) -> Update[UpstreamRecord]:
        return _update(await self.client.rows(UPSTREAM_TABLE), upstream_record)

    async def changes(self, after: int, wait: float) -> Update[UpstreamRecord]:
        return _update(await self.client.changes(UPSTREAM_TABLE, after, wait), upstream_record)


def _update(rows: Rows, decode) -> Update:
    """Return rows decoded; the latest word on each key counts."""
    latest: dict[str, StoredRow] = {row.key: row for row in rows.rows}
    update = Update(rows.version)
    for key, row in latest.items():
        if row.value is None:
            update.removed.append(key)
            continue
        try:
            entry = decode(row)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            update.problems.append(BadEntry(f"{row.table}/{key} cannot be read: {error!r}."))
            continue
        if entry is not None:
            update.entries.append(entry)
    return update


def _configuration(row: StoredRow) -> RouteTable | None:
    if row.key != CONFIGURATION_KEY:
        return None
    return route_table(json.loads(row.value))


def upstream_record(row: StoredRow) -> UpstreamRecord:
    """Return an upstream's entry decoded; raise `ValueError`, `KeyError` or `TypeError` if bad."""
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
