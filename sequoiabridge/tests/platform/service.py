"""Emulator of the platform as a separate process, for demos, benchmarks and tests over sockets.

Prints its address as one line when it listens. `POST /control` with JSON fields of `Faults` sets
faults at run time, `PUT /vms` sets the VM list, `GET /control` returns faults and call counts.
For the fault `down`, it closes connections without an answer instead of refusing them.
"""

import sys
import time
from http import HTTPStatus
from urllib.parse import parse_qs, unquote, urlsplit

import curio
import defopt
import h11
import msgspec
from curio.network import run_server

from ...platform.services import VM_TABLE
from ...store.base import Condition, ListedVm, Row, StoreErrorKind, Write
from ...timers import SystemClock
from ..standins.memory import Faults, MemoryObjects, MemoryTables, MemoryVmList

BURST_SECONDS = 0.25
"""Burst size of the rate limiter, in seconds of its rate."""

ENCODER = msgspec.json.Encoder()
VM_LIST_DECODER = msgspec.json.Decoder(list[ListedVm])

STATUS_BY_ERROR = {
    StoreErrorKind.CONDITION_FAILED: HTTPStatus.PRECONDITION_FAILED,
    StoreErrorKind.REJECTED: HTTPStatus.TOO_MANY_REQUESTS,
}

MAX_LISTED_NAMES = 1000
"""Maximum number of names in one list of objects."""


class RowReference(msgspec.Struct):
    """A row in a transaction."""

    table: str
    key: str
    part: str = ""
    value: bytes | None = None
    ver: int = 0


class Transaction(msgspec.Struct):
    """Body of `POST /rows-tx`."""

    expected_rev: list[RowReference] = []
    puts: list[RowReference] = []
    remove: list[RowReference] = []

    def conditions(self) -> list[Condition]:
        return [Condition(n.table, n.key, n.ver) for n in self.expected_rev]

    def writes(self) -> list[Write]:
        put = [Write(n.table, n.key, n.value) for n in self.puts]
        return put + [Write(n.table, n.key, None) for n in self.remove]


class RateLimiter:
    """Token bucket of `per_second` tokens a second; 0 means no limit."""

    def __init__(self, per_second: float):
        self.per_second = per_second
        self.tokens = per_second * BURST_SECONDS
        self.updated_at = time.monotonic()
        self.passed = self.refused = 0

    def try_acquire(self, tokens: float = 1.0) -> bool:
        now = time.monotonic()
        gain = (now - self.updated_at) * self.per_second
        self.tokens, self.updated_at = min(self.per_second * BURST_SECONDS, self.tokens + gain), now
        if self.per_second and self.tokens <= 0:
            self.refused += 1
            return False
        self.tokens -= tokens
        self.passed += 1
        return True


class ConnectionDropped(Exception):
    """Raised to close the connection without an answer."""


class PlatformEmulator:
    """Table service, object store and VM list behind one port."""

    def __init__(self, writes: float, reads: float, count_rows: bool, vms: list[ListedVm]):
        self.faults = Faults()
        self.tables = MemoryTables(self.faults)
        self.objects = MemoryObjects(self.faults)
        self.vms = MemoryVmList(SystemClock(), vms, self.faults)
        self.writes, self.reads = RateLimiter(writes), RateLimiter(reads)
        self.count_rows = count_rows

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, bytes]:
        url = urlsplit(target)
        endpoint, _, name = url.path.strip("/").partition("/")
        if endpoint == "control":
            return self.control(method, body)
        if self.faults.down:
            raise ConnectionDropped
        if endpoint == "vms":
            return await self.put_vms(body)
        query = {key: values[0] for key, values in parse_qs(url.query, True).items()}
        if endpoint == "rows-get" and query["table"] == VM_TABLE:
            return await self.list_vms()
        writes = method != "GET"
        write_count = self.write_count(body) if endpoint == "rows-tx" else 1
        if not (self.writes.try_acquire(write_count) if writes else self.reads.try_acquire()):
            return HTTPStatus.TOO_MANY_REQUESTS, b""
        if endpoint == "rows-tx":
            transaction = msgspec.json.decode(body, type=Transaction)
            return await self.write(self.tables, transaction.conditions(), transaction.writes())
        if endpoint == "rows-get":
            return await self.handle_get_rows(query)
        return await self.handle_objects(method, unquote(name), query, body)

    def write_count(self, body: bytes) -> int:
        if not self.count_rows:
            return 1
        return len(msgspec.json.decode(body, type=Transaction).writes())

    def control(self, method: str, body: bytes) -> tuple[int, bytes]:
        if method == "POST":
            for name, value in msgspec.json.decode(body).items():
                setattr(self.faults, name, value)
        rates = {"writes": self.writes, "reads": self.reads}
        counts = {name: {"passed": r.passed, "refused": r.refused} for name, r in rates.items()}
        return HTTPStatus.OK, ENCODER.encode({"faults": self.faults, **counts})

    async def put_vms(self, body: bytes) -> tuple[int, bytes]:
        self.vms.set(VM_LIST_DECODER.decode(body))
        return HTTPStatus.OK, b"{}"

    async def list_vms(self) -> tuple[int, bytes]:
        result = await self.vms.vms(60.0)
        if result.is_error():
            raise ConnectionDropped
        rows = [Row(VM_TABLE, vm.name, ENCODER.encode(vm), 1) for vm in result.ok]
        return self.encode_page(rows)

    async def handle_get_rows(self, query: dict) -> tuple[int, bytes]:
        table, limit = query["table"], int(query["limit"])
        result = await self.tables.scan(table, "", "", 1 << 30, 60.0)
        if result.is_error():
            return self.encode_result(result)
        start, end = query.get("from", ""), query.get("target", "\U0010ffff" * 2)
        rows = [row for row in result.ok if start <= row.key < end]
        return self.encode_page(rows[:limit], len(rows) > limit)

    def encode_page(self, rows: list[Row], more: bool = False) -> tuple[int, bytes]:
        encoded_rows = [
            {"table": r.table, "part": "", "key": r.key, "value": r.value, "ver": r.version}
            for r in rows
        ]
        return HTTPStatus.OK, ENCODER.encode({"rows": encoded_rows, "has_more": more, "ver": 1})

    async def write(self, tables: MemoryTables, conditions, writes) -> tuple[int, bytes]:
        waiting_before = len(tables.waiting)
        result = await tables.transact(conditions, writes, 60.0)
        if len(tables.waiting) > waiting_before:
            await curio.spawn(self.apply_late_writes, tables, daemon=True)
        return self.encode_result(result)

    async def apply_late_writes(self, tables: MemoryTables) -> None:
        await curio.sleep(self.faults.late_after)
        tables.land_late()

    async def handle_objects(self, method, name, query, body) -> tuple[int, bytes]:
        if method == "PUT":
            return self.encode_result(await self.objects.put(name, body, 60.0))
        if method == "DELETE":
            return self.encode_result(await self.objects.delete(name, 60.0))
        if not name:
            result = await self.objects.names(
                query["prefix"], query["after"], MAX_LISTED_NAMES, 60.0
            )
            return self.encode_result(result.map(lambda names: {"names": names, "has_more": False}))
        result = await self.objects.get(name, 60.0)
        if result.is_ok():
            return (HTTPStatus.OK, result.ok) if result.ok is not None else (404, b"")
        return self.encode_result(result)

    def encode_result(self, result) -> tuple[int, bytes]:
        if result.is_ok():
            return HTTPStatus.OK, ENCODER.encode(result.ok if result.ok is not None else {"ver": 1})
        if result.error.kind not in STATUS_BY_ERROR:
            raise ConnectionDropped
        return STATUS_BY_ERROR[result.error.kind], b""

    async def serve(self, sock, _address) -> None:
        codec, request, parts = h11.Connection(h11.SERVER), None, []
        async with sock:
            while True:
                event = codec.next_event()
                if event is h11.NEED_DATA:
                    codec.receive_data(await sock.recv(1 << 18))
                elif isinstance(event, h11.Request):
                    request, parts = event, []
                elif isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    if not await self.respond(sock, codec, request, b"".join(parts)):
                        return
                else:
                    return

    async def respond(self, sock, codec, request, body: bytes) -> bool:
        try:
            status, data = await self.answer(request.method.decode(), request.target.decode(), body)
        except ConnectionDropped:
            return False
        head = h11.Response(status_code=status, headers=[("content-length", str(len(data)))])
        await sock.sendall(
            codec.send(head) + codec.send(h11.Data(data=data)) + codec.send(h11.EndOfMessage())
        )
        if codec.our_state is not h11.DONE:
            return False
        codec.start_next_cycle()
        return True


async def listen(host: str, port: int, platform: PlatformEmulator) -> None:
    sock = curio.tcp_server_socket(host, port, backlog=256)
    print("{}:{}".format(*sock.getsockname()[:2]), flush=True)
    await run_server(sock, platform.serve)


def main(
    *,
    address: str = "127.0.0.1:0",
    writes: float = 300.0,
    reads: float = 2000.0,
    count_rows: bool = False,
    vm: list[str] = (),
) -> None:
    """Serve the emulated platform until stopped.

    :param address: IP:port to listen on; port 0 selects a free port
    :param writes: writes per second for all clients; 0 means no limit
    :param reads: reads per second for all clients; 0 means no limit
    :param count_rows: count each row of a transaction as one write
    :param vm: entries of the VM list as NAME=IP:port=DATA_CENTRE
    """
    host, _, port = address.rpartition(":")
    vms = [ListedVm(*entry.split("=")) for entry in vm]
    platform = PlatformEmulator(writes, reads, count_rows, vms)
    try:
        curio.run(listen, host, int(port), platform)
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    defopt.run(main)
