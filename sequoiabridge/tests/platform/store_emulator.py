"""Emulator of the platform's store: versioned rows, polls for changes, and faults."""

import json
from base64 import b64decode, b64encode
from collections import deque
from socket import SHUT_RDWR
from urllib.parse import parse_qs, urlsplit

import curio

from ..standins.upstream_http import GONE, Incoming, Wire

MAX_HISTORY = 1000
"""Maximum number of changes that polls can return."""


class StoreFaults:
    """Faults of the store.

    Attributes:
        unresponsive: Never answer.
        refuse: Number of calls still to be refused.
        lose_answers: Number of answers still to be lost; the calls take effect.
        delay: Seconds before each call is processed.
        refused_vms: Not used.
    """

    def __init__(self):
        self.unresponsive = False
        self.refuse = 0
        self.lose_answers = 0
        self.delay = 0.0
        self.refused_vms: set[str] = set()


class StoreEmulator:
    """The store.

    Attributes:
        rows: Value and version of each row by (table, part, key).
        history: Version, row and value of the latest changes; the value is None for a removal.
        forgotten_version: Version up to which changes are no longer in the history.
        calls: Number of calls by path.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.version = 0
        self.history: deque[tuple[int, tuple[str, str, str], bytes | None]] = deque(
            maxlen=MAX_HISTORY
        )
        self.forgotten_version = 0
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self.changed = curio.Event()
        self.connections: set[Wire] = set()

    async def put(self, table: str, key: str, value: dict | None, part: str = "") -> None:
        """Write or remove a row directly, unaffected by faults."""
        data = None if value is None else json.dumps(value).encode()
        await self.apply([((table, part, key), data)])

    async def apply(self, writes) -> None:
        self.version += 1
        for row_id, value in writes:
            if value is None:
                self.rows.pop(row_id, None)
            else:
                self.rows[row_id] = (value, self.version)
            if len(self.history) == MAX_HISTORY:
                self.forgotten_version = self.history[0][0]
            self.history.append((self.version, row_id, value))
        old, self.changed = self.changed, curio.Event()
        await old.set()

    def forget_history(self) -> None:
        """Drop the history, so that clients must read all rows again."""
        self.history.clear()
        self.forgotten_version = self.version

    async def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            abort_connection(connection)

    async def serve(self, client, peer) -> None:
        """Serve one connection until it ends."""
        connection = Wire(client)
        self.connections.add(connection)
        try:
            while request := await connection.request():
                if not await self.handle(connection, request):
                    return
        except GONE:
            pass
        finally:
            self.connections.discard(connection)
            await client.close()

    async def handle(self, connection: Wire, request: Incoming) -> bool:
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls[url.path] = self.calls.get(url.path, 0) + 1
        faults = self.faults
        if faults.unresponsive:
            await curio.sleep(3600)
        if faults.refuse:
            faults.refuse -= 1
            return await self.reply(connection, 503, {})
        await curio.sleep(faults.delay)
        status, body = await self.answer(request.method, url.path, query, request.body)
        if faults.unresponsive:
            # Calls that were pending when the fault began get no answer either.
            await curio.sleep(3600)
        if faults.lose_answers:
            faults.lose_answers -= 1
            return False
        return await self.reply(connection, status, body)

    async def reply(self, connection: Wire, status: int, body: dict) -> bool:
        data = json.dumps(body).encode()
        return await connection.answer(status, [(b"content-type", b"application/json")], data)

    async def answer(self, method: str, path: str, query: dict, body: bytes) -> tuple[int, dict]:
        if (method, path) == ("POST", "/rows-tx"):
            return await self.transact(json.loads(body))
        if path == "/rows-get":
            return self.get(query)
        if path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    async def transact(self, transaction: dict) -> tuple[int, dict]:
        for row in transaction["expected_rev"]:
            row_id = (row["table"], row.get("part", ""), row["key"])
            if self.rows.get(row_id, (b"", 0))[1] != row["ver"]:
                return 412, {"rows": [], "ver": self.version}
        writes = [
            ((w["table"], w.get("part", ""), w["key"]), b64decode(w["value"]))
            for w in transaction["puts"]
        ]
        writes += [((w["table"], w.get("part", ""), w["key"]), None) for w in transaction["remove"]]
        await self.apply(writes)
        return 200, {"ver": self.version, "now_s": 1.0}

    def get(self, query: dict) -> tuple[int, dict]:
        limit = int(query.get("limit", 500))
        start, end = query.get("from", ""), query.get("target", "\U0010ffff")
        row_ids = sorted(
            row_id
            for row_id in self.rows
            if row_id[:2] == (query["table"], query.get("part", "")) and start <= row_id[2] < end
        )
        rows = [encode_row(row_id, *self.rows[row_id]) for row_id in row_ids[:limit]]
        more = len(row_ids) > limit
        return 200, {"rows": rows, "has_more": more, "ver": self.version, "now_s": 1.0}

    async def feed(self, query: dict) -> tuple[int, dict]:
        table, after = query["table"], int(query["after"])
        if after < self.forgotten_version or after > self.version:
            return 410, {}
        async with curio.ignore_after(int(query["wait_ms"]) / 1000):
            while not self.changes_after(table, after):
                await self.changed.wait()
                if after < self.forgotten_version:
                    return 410, {}
        return 200, {"rows": self.changes_after(table, after), "ver": self.version, "now_s": 1.0}

    def changes_after(self, table: str, after: int) -> list[dict]:
        changes = [(v, row_id, value) for v, row_id, value in self.history if v > after]
        return [encode_row(row_id, value, v) for v, row_id, value in changes if row_id[0] == table]


def abort_connection(connection: Wire) -> None:
    """Shut down a connection, which also ends the task that reads from it."""
    with connection.sock.blocking() as sock:
        sock.setblocking(False)
        try:
            sock.shutdown(SHUT_RDWR)
        except OSError:
            return  # The other end has closed it already.


def encode_row(row_id: tuple[str, str, str], value: bytes | None, version: int) -> dict:
    table, part, key = row_id
    row = {"table": table, "part": part, "key": key, "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": b64encode(value).decode()}
