"""Reads what another daemon knows of the store, and gives out what this one knows."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode

import curio

from ..exceptions import StoreUnavailable, UpstreamFailed
from ..store.rows import Changes, Rows, StoredRow
from ..timers import Clock
from ..upstreams.connections import ConnectorLimits, HttpConnector
from ..upstreams.fetch import fetch

PATH = b"/feeds/"
"""Path of the operators' port under which each feed's rows are read, by the feed's name."""

TIMEOUT = 0.5
"""Seconds for a reading; it takes some milliseconds."""

OK = 200


class PeerReader:
    """Reads feeds from other daemons.

    Attributes:
        own_address: Where other daemons read from this one.
    """

    def __init__(self, own_address: str, clock: Clock):
        self.own_address = own_address
        self.connector = HttpConnector(clock, ConnectorLimits(idle_timeout=5.0))

    async def read(self, address: str, feed: str, after: int | None) -> Rows:
        """Return what the daemon at `address` knows of a feed.

        That is `Changes` after a version, or all `Rows` if it cannot tell or none is given.

        Raises:
            StoreUnavailable: There was no good answer.
        """
        target = PATH + feed.encode()
        if after is not None:
            target += b"/%d" % after
        try:
            async with curio.timeout_after(TIMEOUT):
                found = await fetch(self.connector, address, b"GET", target, TIMEOUT)
        except (UpstreamFailed, curio.TaskTimeout) as error:
            raise StoreUnavailable(f"{address} gave no answer: {error!r}.") from error
        if found.status != OK:
            raise StoreUnavailable(f"{address} does not know the {feed} ({found.status}).")
        return decoded(found.body)


def encoded(rows: Rows) -> bytes:
    """Return rows as JSON for another daemon."""
    listed = [
        [row.table, row.part, row.key, row.value and b64encode(row.value).decode(), row.version]
        for row in rows.rows
    ]
    whole = not isinstance(rows, Changes)
    return json.dumps({"version": rows.version, "whole": whole, "rows": listed}).encode()


def decoded(data: bytes) -> Rows:
    """Return the rows that another daemon gave.

    Raises:
        StoreUnavailable: They cannot be read.
    """
    try:
        found = json.loads(data)
        rows = [
            StoredRow(t, part, key, None if v is None else b64decode(v), n)
            for t, part, key, v, n in found["rows"]
        ]
        kind = Rows if found["whole"] else Changes
        return kind(rows, int(found["version"]))
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUnavailable(f"A daemon gave rows that cannot be read: {error!r}.") from error
