"""Client of the platform's store over HTTP with JSON bodies."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections.abc import Callable, Sequence
from http import HTTPStatus
from urllib.parse import urlencode

import curio

from ..exceptions import (
    BadEntry,
    ConditionFailed,
    HistoryLost,
    StoreRefused,
    StoreUnavailable,
    UpstreamFailed,
)
from ..store.rows import UNREADABLE, Changes, Condition, Rows, StoredRow, Write
from ..store.tables import Tables
from ..timers import Clock
from ..untrusted_json import as_integer, as_object, parse_json
from ..upstreams.connections import ConnectorLimits, HttpConnector
from ..upstreams.fetch import FetchedAnswer, fetch

CALL_TIMEOUT = 1.5
"""Seconds for the whole answer to a call other than a poll."""

POLL_ANSWER_TIMEOUT = 0.6
"""Seconds for the answer to a poll after its waiting time; short, so that an outage of the store
and its end are detected soon."""

MAX_CONNECTIONS = 256
"""Maximum number of connections to the store; each call in flight uses one."""

MAX_PAGE_ROWS = 500
"""Maximum number of rows in one answer, as set by the platform."""

MAX_VERSION = 2**63
"""Maximum version of the store that is accepted."""

IDLE_TIMEOUT = 20.0
"""Seconds after which an idle connection is no longer reused."""

JSON_HEADERS = ((b"content-type", b"application/json"),)

CallObserver = Callable[[bool], None]
"""Called after each call with whether it failed."""


class PlatformClient(Tables):
    """The platform's store at one address.

    Args:
        on_call: Called after each call on tables, with whether it failed.
        call_timeout: Seconds for a call other than a poll.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        on_call: CallObserver = lambda failed: None,
        call_timeout: float = CALL_TIMEOUT,
    ):
        self.address = address
        self.on_call = on_call
        self.call_timeout = call_timeout
        limits = ConnectorLimits(idle_timeout=IDLE_TIMEOUT)
        self.connector = HttpConnector(clock, limits, MAX_CONNECTIONS)

    async def rows(
        self, table: str, part: str = "", start: str = "", end: str = "", limit: int = 0
    ) -> Rows:
        page_size = min(limit or MAX_PAGE_ROWS, MAX_PAGE_ROWS)
        rows, version, query = [], 0, {"table": table, "part": part, "limit": page_size}
        if end:
            query["target"] = end
        while True:
            if start:
                query["from"] = start
            page = await self._get("/rows-get", query, self.call_timeout)
            found = _decode_rows(page)
            rows += found
            # Rows may change between pages; only the first page's version holds for all.
            version = version or _decode_version(page)
            if not page.get("has_more") or not found or 0 < limit <= len(rows):
                return Rows(rows[: limit or None], version)
            start = found[-1].key + "\0"

    async def changes(self, table: str, after: int, wait: float, fresh: bool = False) -> Changes:
        query = {"table": table, "after": after, "wait_ms": int(wait * 1000)}
        page = await self._get("/rows-feed", query, wait + POLL_ANSWER_TIMEOUT, fresh)
        return Changes(_decode_rows(page), _decode_version(page))

    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        puts = [write for write in writes if write.value is not None]
        removals = [write for write in writes if write.value is None]
        body = {
            "expected_rev": [
                {"table": c.table, "part": c.part, "key": c.key, "ver": c.version}
                for c in conditions
            ],
            "puts": [
                {"table": w.table, "part": w.part, "key": w.key, "value": _encode_value(w.value)}
                for w in puts
            ],
            "remove": [{"table": w.table, "part": w.part, "key": w.key} for w in removals],
        }
        answer = await self._call(
            b"POST", b"/rows-tx", json.dumps(body).encode(), self.call_timeout
        )
        return _decode_version(answer)

    async def _get(self, path: str, query: dict, timeout: float, fresh: bool = False) -> dict:
        target = f"{path}?{urlencode(query)}".encode()
        return await self._call(b"GET", target, b"", timeout, fresh)

    async def _call(
        self, method: bytes, target: bytes, body: bytes, timeout: float, fresh: bool = False
    ) -> dict:
        failed = True
        try:
            answer = decode_answer(
                await self.exchange(method, target, body, JSON_HEADERS, timeout, fresh)
            )
            failed = False
            return answer
        finally:
            self.on_call(failed)

    async def exchange(
        self,
        method: bytes,
        target: bytes,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout: float | None = None,
        fresh: bool = False,
    ) -> FetchedAnswer:
        """Send one request without retries; return its whole answer, whatever its status.

        Args:
            fresh: Use a new connection.

        Raises:
            StoreUnavailable: There was no whole answer within `timeout` seconds.
        """
        timeout = self.call_timeout if timeout is None else timeout
        try:
            async with curio.timeout_after(timeout):
                return await fetch(
                    self.connector,
                    self.address,
                    method,
                    target,
                    timeout,
                    body,
                    headers,
                    fresh=fresh,
                )
        except curio.TaskTimeout:
            raise StoreUnavailable(f"The store did not answer within {timeout:.1f} s.") from None
        except UpstreamFailed as error:
            message = f"No answer from the store: {error}"
            raise StoreUnavailable(message, sent=error.sent) from error


def checked_body(answer: FetchedAnswer) -> bytes:
    """Return the body of a successful answer.

    Raises:
        HistoryLost: The changes since the given version are no longer available.
        ConditionFailed: A condition of the transaction did not hold.
        StoreRefused: The store refused the call and did nothing.
        StoreUnavailable: Any other failure; a write may have been applied.
    """
    status = answer.status
    if status == HTTPStatus.GONE:
        raise HistoryLost("The store no longer has the changes since this version; read all rows.")
    if status == HTTPStatus.PRECONDITION_FAILED:
        raise ConditionFailed(
            "A row was changed by another writer; read it again before the next write."
        )
    refused = 400 <= status < 500 and status != HTTPStatus.REQUEST_TIMEOUT
    if refused or status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise StoreRefused(
            f"The store refused the call with status {status} and did nothing; try again later."
        )
    if status != HTTPStatus.OK:
        raise StoreUnavailable(
            f"The store answered with status {status}; read back what was written."
        )
    return answer.body


def decode_answer(answer: FetchedAnswer) -> dict:
    """Return the JSON object of a successful answer; raises the errors of `checked_body`."""
    try:
        return as_object(parse_json(checked_body(answer)), "the answer")
    except BadEntry as error:
        raise StoreUnavailable(f"The store's answer is not valid: {error}.") from error


def _decode_version(page: dict) -> int:
    """Return the version of the store in an answer; raises as `_decode_rows`."""
    try:
        return as_integer(page.get("ver"), "ver", 0, MAX_VERSION)
    except BadEntry as error:
        raise StoreUnavailable(f"The store's answer is not valid: {error}.") from error


def _decode_rows(page: dict) -> list[StoredRow]:
    """Return the rows of an answer.

    Raises:
        StoreUnavailable: The answer does not have the expected structure.
    """
    try:
        return [_decode_row(row) for row in page["rows"]]
    except (BadEntry, KeyError, TypeError, AttributeError) as error:
        raise StoreUnavailable(f"The store's answer has no valid rows: {error!r}.") from error


def _decode_row(row: dict) -> StoredRow:
    value = None if row.get("removed") else _decode_value(row.get("value"))
    names = (row["table"], row.get("part", ""), row["key"])
    if not all(isinstance(name, str) for name in names):
        raise TypeError("a row's table, part or key is no text")
    version = as_integer(row.get("ver", 0), "a row's ver", 0, MAX_VERSION)
    return StoredRow(*names, value, version)


def _decode_value(text: object) -> bytes:
    """Return a row's value, or `UNREADABLE`, so that one invalid row does not affect the others."""
    if not isinstance(text, str):
        return UNREADABLE
    try:
        return b64decode(text, validate=True)
    except ValueError:
        return UNREADABLE


def _encode_value(value: bytes) -> str:
    return b64encode(value).decode()
