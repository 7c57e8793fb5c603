"""Stand-in of the platform's store: rows, transactions and the feed, as PROTOCOL.md says."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from urllib.parse import parse_qs, urlsplit

from .http import BrokenMessage, encode, read_body, read_head

ANSWER_DELAY = 0.004
"""Seconds that an answer takes, as on the users' sites."""


class Store:
    """A sound store that answers every call."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, tuple[str, str, str], bytes | None]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.address = ""
        self.connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=512)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """End all connections."""
        connections = list(self.connections)
        for connection in connections:
            connection.cancel()
        await asyncio.gather(*connections, return_exceptions=True)

    def _accept(self, reader, writer) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    def put(self, table: str, key: str, value: dict | None) -> None:
        """Write or remove one row."""
        data = None if value is None else json.dumps(value).encode()
        self._apply([((table, "", key), data)])

    def _apply(self, writes: list) -> None:
        self.version += 1
        for row_id, value in writes:
            if value is None:
                self.rows.pop(row_id, None)
            else:
                self.rows[row_id] = (value, self.version)
            self.history.append((self.version, row_id, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request, False)
                await asyncio.sleep(ANSWER_DELAY)
                status, answer = await self._answer(request)
                body = json.dumps(answer).encode()
                headers = [
                    ("Content-Type", "application/json"),
                    ("Content-Length", str(len(body))),
                ]
                writer.write(encode(f"HTTP/1.1 {status} -", headers, body))
                await writer.drain()
        except (BrokenMessage, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request) -> tuple[int, dict]:
        url = urlsplit(request.first[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        if url.path == "/rows-get":
            return self._get(query)
        if url.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call: dict) -> tuple[int, dict]:
        failed = []
        for row in call.get("expected_rev", []):
            row_id = (row["table"], row.get("part", ""), row["key"])
            value, version = self.rows.get(row_id, (b"", 0))
            if version != row["ver"]:
                failed.append(encode_row(row_id, value, version))
        if failed:
            return 412, {"rows": failed, "ver": self.version, "now_s": time.monotonic()}
        writes = [
            ((row["table"], row.get("part", ""), row["key"]), b64decode(row["value"]))
            for row in call.get("puts", [])
        ]
        writes += [
            ((row["table"], row.get("part", ""), row["key"]), None)
            for row in call.get("remove", [])
        ]
        if any(row_id[0] in ("op", "servers") for row_id, _ in writes):
            return 403, {}
        self._apply(writes)
        return 200, {"ver": self.version, "now_s": time.monotonic()}

    def _get(self, query: dict) -> tuple[int, dict]:
        limit = min(500, int(query.get("limit", 500)))
        first, end = query.get("from", ""), query.get("target")
        found = sorted(
            row_id
            for row_id in self.rows
            if row_id[:2] == (query["table"], query.get("part", ""))
            and first <= row_id[2]
            and (end is None or row_id[2] < end)
        )
        rows = [encode_row(row_id, *self.rows[row_id]) for row_id in found[:limit]]
        more = len(found) > limit
        now = time.monotonic()
        return 200, {"rows": rows, "has_more": more, "ver": self.version, "now_s": now}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + min(30.0, int(query.get("wait_ms", 0)) / 1000)
        while not (rows := self._changes(table, after)):
            changed, left = self.changed, end - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        return 200, {"rows": rows, "ver": self.version, "now_s": time.monotonic()}

    def _changes(self, table: str, after: int) -> list[dict]:
        return [
            encode_row(row_id, value, version)
            for version, row_id, value in self.history
            if version > after and row_id[0] == table
        ]


def encode_row(row_id: tuple[str, str, str], value: bytes | None, version: int) -> dict:
    """Return a row as the store's answers have it."""
    row = {"table": row_id[0], "part": row_id[1], "key": row_id[2], "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": b64encode(value).decode()}
