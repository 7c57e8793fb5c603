"""Calls to the platform's store over HTTP, with JSON bodies; the one client of it."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from binascii import Error as BadBase64
from collections.abc import Callable, Sequence
from http import HTTPStatus
from urllib.parse import urlencode

import curio

from ..exceptions import (
    ConditionFailed,
    HistoryLost,
    StoreRefused,
    StoreUnavailable,
    UpstreamFailed,
)
from ..store.rows import Changes, Condition, Rows, StoredRow, Write
from ..store.tables import Tables
from ..timers import Clock
from ..upstreams.connections import ConnectorLimits, HttpConnector
from ..upstreams.fetch import fetch

CALL_TIMEOUT = 1.5
"""Seconds for a call that answers at once; the store takes 4 ms, some 0.25 s when it is slow."""

PROMPT_TIMEOUT = 0.6
"""Seconds for a question for changes that need not wait: asked when the store has been away, so
that its return is noticed soon."""

LARGEST_PAGE = 500
"""Rows of one answer, as the platform fixes it."""

IDLE_TIMEOUT = 20.0
"""Seconds that an idle connection to the store is used again."""

JSON = ((b"content-type", b"application/json"),)

Counter = Callable[[bool], None]
"""Told of each call, and whether it failed."""


class PlatformClient(Tables):
    """The platform's store at one address."""

    def __init__(self, address: str, clock: Clock, counted: Counter = lambda failed: None):
        self.address = address
        self.counted = counted
        self.connector = HttpConnector(clock, ConnectorLimits(idle_timeout=IDLE_TIMEOUT))

    async def rows(self, table: str, part: str = "", start: str = "", end: str = "") -> Rows:
        found, version, query = [], 0, {"table": table, "part": part, "limit": LARGEST_PAGE}
        if end:
            query["target"] = end
        while True:
            if start:
                query["from"] = start
            page = await self._get("/rows-get", query, CALL_TIMEOUT)
            found += [_row(row) for row in page["rows"]]
            # Pages are read one after the other: only what the first saw is known of all.
            version = version or page["ver"]
            if not page.get("has_more") or not page["rows"]:
                return Rows(found, version)
            start = page["rows"][-1]["key"] + "\0"

    async def changes(self, table: str, after: int, wait: float) -> Changes:
        query = {"table": table, "after": after, "wait_ms": int(wait * 1000)}
        page = await self._get(
            "/rows-feed", query, (wait + CALL_TIMEOUT) if wait else PROMPT_TIMEOUT
        )
        return Changes([_row(row) for row in page["rows"]], page["ver"])

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        puts = [write for write in writes if write.value is not None]
        removed = [write for write in writes if write.value is None]
        body = {
            "expected_rev": [
                {"table": c.table, "part": c.part, "key": c.key, "ver": c.version}
                for c in conditions
            ],
            "puts": [
                {"table": w.table, "part": w.part, "key": w.key, "value": _text(w.value)}
                for w in puts
            ],
            "remove": [{"table": w.table, "part": w.part, "key": w.key} for w in removed],
        }
        answer = await self._call(b"POST", b"/rows-tx", json.dumps(body).encode(), CALL_TIMEOUT)
        return answer["ver"]

    async def _get(self, path: str, query: dict, timeout: float) -> dict:
        target = f"{path}?{urlencode(query)}".encode()
        return await self._call(b"GET", target, b"", timeout)

    async def _call(self, method: bytes, target: bytes, body: bytes, timeout: float) -> dict:
        failed = True
        try:
            async with curio.timeout_after(timeout):
                found = await fetch(
                    self.connector, self.address, method, target, timeout, body, JSON
                )
            answer = decoded(found.status, found.body)
            failed = False
            return answer
        except curio.TaskTimeout:
            raise StoreUnavailable(f"The store gave no answer within {timeout:.1f} s.") from None
        except UpstreamFailed as error:
            raise StoreUnavailable(f"The store gave no answer: {error}") from error
        finally:
            self.counted(failed)


def decoded(status: int, data: bytes) -> dict:
    """Return the fields of a good answer, or raise what another one stands for."""
    if status == HTTPStatus.GONE:
        raise HistoryLost("The store no longer knows what changed; read all rows.")
    if status == HTTPStatus.PRECONDITION_FAILED:
        raise ConditionFailed("A row was changed by another; read it and decide again.")
    if status in (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS):
        raise StoreRefused(f"The store refused the call ({status}) and did nothing; try later.")
    if status != HTTPStatus.OK:
        raise StoreUnavailable(f"The store answered {status}; read back what was written.")
    try:
        return json.loads(data)
    except ValueError as error:
        raise StoreUnavailable(f"The store's answer is not JSON: {error}.") from error


def _row(row: dict) -> StoredRow:
    value = None if row.get("removed") else _bytes(row.get("value") or "")
    return StoredRow(row["table"], row.get("part", ""), row["key"], value, row.get("ver", 0))


def _bytes(text: str) -> bytes:
    try:
        return b64decode(text)
    except (BadBase64, ValueError) as error:
        raise StoreUnavailable(f"The store sent a value that cannot be read: {error}.") from error


def _text(value: bytes) -> str:
    return b64encode(value).decode()
