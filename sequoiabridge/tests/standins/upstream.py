"""A stand-in upstream: a small server with slots, a queue, load headers and faults on request.

It runs as a process of its own and keeps its own record of what ran. Its control port answers
`GET /record`, `GET /faults`, `POST /faults` (a JSON map of the fields to change, see `Faults`),
`POST /silence` (all connections that are open now go silent for good) and `POST /crash`.
"""

import hashlib
import os
from random import Random
from urllib.parse import parse_qs, urlsplit

import curio
import defopt
import msgspec

from ...headers import (
    CALLER,
    DEADLINE,
    DRAIN,
    IDEMPOTENCY_KEY,
    INCARNATION,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    UPLOAD_DIGEST,
    UPLOAD_ID,
)
from .upstream_faults import Faults, LoadHistory, Noise, load_header
from .upstream_http import GONE, Incoming, Wire
from .upstream_record import Record, Run

CRASH_STATUS = 70
QUEUE_FACTOR = 20
"""Requests that may wait for each slot before new ones are shed."""


class Upstream:
    """The state of one stand-in."""

    def __init__(self, name: str, slots: int, work_ms: float, seed: int, record: Record):
        self.name = name
        self.slots = slots
        self.work = work_ms / 1000
        self.random = Random(seed)
        self.noise = Noise(seed + 1, 0.0)
        self.record = record
        self.clock = record.clock
        self.faults = Faults()
        self.started = self.clock.now()
        self.incarnation = int(self.clock.wall() * 1000)
        self.free = curio.Semaphore(slots)
        self.in_flight = 0
        self.open_time = 0.0
        self.connections = 0
        self.history = LoadHistory()
        self.wires: set[Wire] = set()
        self.uploads: dict[str, str] = {}
        self.counts = {"shed": 0, "cancelled": 0, "health": 0, "opened": 0, "refused": 0}

    async def serve(self, client, peer) -> None:
        """Serve one connection until it ends."""
        if self.connections and len(self.wires) >= self.connections:
            self.counts["refused"] += 1
            await client.close()
            return
        self.counts["opened"] += 1
        wire = Wire(client)
        self.wires.add(wire)
        try:
            await curio.sleep(self.open_time)
            while (request := await wire.request()) and await self.handle(wire, request):
                pass
        except GONE:
            pass
        finally:
            self.wires.discard(wire)
            await client.close()

    async def handle(self, wire: Wire, request: Incoming) -> bool:
        """Answer one request; return True if the connection may be used again."""
        if urlsplit(request.target).path == "/health":
            self.counts["health"] += 1
            return await wire.answer(200, self.headers(), self.status())
        if self.chance(self.faults.shed) or self.in_flight >= self.slots * QUEUE_FACTOR:
            return await self.refuse(wire)
        self.change(+1)
        try:
            return await self.run_in_slot(wire, request)
        finally:
            self.change(-1)

    async def run_in_slot(self, wire: Wire, request: Incoming) -> bool:
        """Wait for a slot, unless the caller leaves or its deadline passes, and run."""
        deadline = int(request.header(DEADLINE) or 3_600_000) / 1000
        watch = await curio.spawn(wire.closed, daemon=True)
        entry = await curio.spawn(self.free.acquire, daemon=True)
        try:
            async with curio.ignore_after(deadline):
                await first_of(watch, entry)
            if watch.terminated:
                self.counts["cancelled"] += 1
                return False
            if not entry.terminated:
                await watch.cancel()
                return await self.refuse(wire)
            return await self.run(wire, request, watch)
        finally:
            await watch.cancel()
            await entry.cancel()
            if entry.exception is None:
                await self.free.release()

    async def run(self, wire: Wire, request: Incoming, watch: curio.Task) -> bool:
        """Run a request that has its slot, recorded before anything of it takes effect."""
        run = self.begin(request)
        if request.header(b"x-mark") == self.faults.crash_mark:
            await self.crash()
        if self.chance(self.faults.fail):
            self.record.end(run, 500)
            await watch.cancel()
            return await wire.answer(500, self.headers(), b'{"error": "failing fast"}')
        work = await curio.spawn(curio.sleep, self.work_time(), daemon=True)
        await (first_of(work, watch) if request.method in ("GET", "HEAD") else work.join())
        await work.cancel()
        await watch.cancel()
        status, body = self.result(run, request)
        self.record.end(run, status)
        return await self.reply(wire, request, status, body)

    async def reply(self, wire: Wire, request: Incoming, status: int, body: bytes) -> bool:
        """Send the answer of a finished run, late, cut short or not at all if told so."""
        await curio.sleep(self.faults.late_ms / 1000)
        if self.chance(self.faults.lost):
            return False
        digest = hashlib.sha256(body).hexdigest().encode()
        headers = [*self.headers(), (b"x-answer-digest", digest)]
        if request.method == "HEAD":
            body = b""
        is_read = request.method == "GET"
        hangs = is_read and self.chance(self.faults.hang)
        if hangs or (is_read and self.chance(self.faults.endless)):
            await wire.answer_without_end(status, headers, body, hangs)
        return await wire.answer(status, headers, body, cut=self.chance(self.faults.cut))

    def result(self, run: Run, request: Incoming) -> tuple[int, bytes]:
        """Return status and body of the answer, which names its own request."""
        want = request.header(UPLOAD_DIGEST)
        if run.upload and want and want != run.digest:
            return 422, b'{"error": "digest differs"}'
        if run.upload:
            self.uploads[run.upload] = run.digest
        size = int(parse_qs(urlsplit(request.target).query).get("size", ["0"])[0])
        body = {
            "upstream": self.name,
            "nonce": run.nonce,
            "request": run.request,
            "digest": run.digest,
            "run": run.number,
            "filler": "x" * size,
        }
        return 200, msgspec.json.encode(body)

    def begin(self, request: Incoming) -> Run:
        """Write the run into the record."""
        upload = request.header(UPLOAD_ID)
        digest = hashlib.sha256(request.body).hexdigest()
        return self.record.begin(
            request=request.header(REQUEST_ID),
            nonce=request.header(b"x-nonce"),
            attempt=request.header(b"x-attempt"),
            key=request.header(IDEMPOTENCY_KEY),
            caller=request.header(CALLER),
            method=request.method,
            path=request.target,
            digest=digest,
            upload=upload,
            repeat=bool(upload) and self.uploads.get(upload) == digest,
        )

    async def refuse(self, wire: Wire) -> bool:
        """Shed a request, and say that it did not run."""
        self.counts["shed"] += 1
        headers = [*self.headers(), (NOT_RUN, b"1"), (b"retry-after", b"1")]
        return await wire.answer(503, headers, b'{"error": "shed"}')

    def work_time(self) -> float:
        """Return the seconds that one piece of work takes now."""
        now = self.clock.now()
        factor = self.faults.slow * self.noise.at(now)
        age = now - self.started
        if age < self.faults.cold_s:
            factor *= 1 + (self.faults.cold_factor - 1) * (1 - age / self.faults.cold_s)
        return self.work * factor * self.random.uniform(0.5, 1.5)

    async def crash(self) -> None:
        """End the process at once, in the middle of whatever it does."""
        os._exit(CRASH_STATUS)

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that each answer carries."""
        fields = [(b"content-type", b"application/json")]
        fields.append((LOAD, load_header(self.history, self.clock.now(), self.slots, self.faults)))
        fields.append((INCARNATION, b"%d" % self.incarnation))
        if self.faults.drain:
            fields.append((DRAIN, b"%d" % self.incarnation))
        return fields

    def status(self) -> bytes:
        """Describe the stand-in's counters."""
        return msgspec.json.encode(
            {"name": self.name, "in_flight": self.in_flight, "runs": len(self.record.runs)}
            | self.counts
        )

    def chance(self, share: float) -> bool:
        """Draw from the seeded source; never draws for a fault that is off."""
        return share > 0 and self.random.random() < share

    def change(self, step: int) -> None:
        """Count work in flight up or down."""
        self.in_flight += step
        self.history.note(self.clock.now(), self.in_flight)

    async def control(self, client, peer) -> None:
        """Serve one connection of the control port."""
        wire = Wire(client)
        try:
            while request := await wire.request():
                status, body = self.command(request)
                if not await wire.answer(status, [], body):
                    return
        except GONE:
            pass
        finally:
            await client.close()

    def command(self, request: Incoming) -> tuple[int, bytes]:
        """Do one command of the control port."""
        match request.method, urlsplit(request.target).path:
            case "GET", "/record":
                return 200, msgspec.json.encode(self.record.runs)
            case "GET", "/status":
                return 200, self.status()
            case "POST", "/faults":
                merged = msgspec.structs.asdict(self.faults) | msgspec.json.decode(request.body)
                self.faults = msgspec.convert(merged, Faults)
                if self.faults.cold_s:
                    self.started = self.clock.now()
                return 200, msgspec.json.encode(self.faults)
            case "GET", "/faults":
                return 200, msgspec.json.encode(self.faults)
            case "POST", "/silence":
                for wire in self.wires:
                    wire.silent = True
                silenced, self.wires = len(self.wires), set()
                return 200, msgspec.json.encode({"silenced": silenced})
            case "POST", "/crash":
                os._exit(CRASH_STATUS)
        return 404, b"{}"


async def first_of(*tasks: curio.Task) -> None:
    """Return once one of the tasks has ended, and leave all of them alone."""
    ended = curio.Event()

    async def wait(task: curio.Task) -> None:
        await task.wait()
        await ended.set()

    waits = [await curio.spawn(wait, task, daemon=True) for task in tasks]
    try:
        await ended.wait()
    finally:
        for task in waits:
            await task.cancel()


async def listen(address: str, handler) -> tuple[curio.Task, str]:
    """Accept connections on `address` ("IP:port"); return the task and the address bound."""
    host, _, port = address.rpartition(":")
    sock = curio.tcp_server_socket(host, int(port), reuse_address=True, backlog=512)
    bound_host, bound_port = sock.getsockname()[:2]
    task = await curio.spawn(curio.network.run_server, sock, handler, daemon=True)
    return task, f"{bound_host}:{bound_port}"


async def run(upstream: Upstream, address: str, control: str) -> None:
    """Serve until the process is ended; print the bound addresses as one JSON line."""
    serving, bound = await listen(address, upstream.serve)
    _, control_bound = await listen(control, upstream.control)
    line = {"name": upstream.name, "address": bound, "control": control_bound}
    print(msgspec.json.encode(line).decode(), flush=True)
    await serving.join()


def main(
    *,
    address: str = "127.0.0.1:0",
    control: str = "127.0.0.1:0",
    name: str = "upstream",
    slots: int = 2,
    work_ms: float = 6.0,
    noise: float = 0.0,
    open_ms: float = 0.0,
    connections: int = 220,
    seed: int = 1,
    record: str = "",
) -> None:
    """Run a stand-in upstream.

    :param address: IP:port for requests; port 0 takes a free one.
    :param control: IP:port for the control port.
    :param name: Its name in records and answers.
    :param slots: Requests that run at once.
    :param work_ms: Mean time of one piece of work.
    :param noise: Share of time in which noisy neighbours slow it threefold.
    :param open_ms: Time that a new connection takes.
    :param connections: Most connections at once; 0 = no limit.
    :param seed: Seed of all random draws.
    :param record: File to which the record is appended as well.
    """
    upstream = Upstream(name, slots, work_ms, seed, Record(name, record))
    upstream.noise = Noise(seed + 1, noise)
    upstream.open_time = open_ms / 1000
    upstream.connections = connections
    curio.run(run, upstream, address, control)


if __name__ == "__main__":
    defopt.run(main)
