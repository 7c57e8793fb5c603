"""An upstream of the platform as a stand-in: slots, queue, neighbours, signals, faults."""

from random import Random

import curio

from ..standins.upstream_http import GONE, Incoming, Wire
from .store_emulator import break_off

SIGNATURE = (b"x-server-signature", b"signed")


class UpstreamFaults:
    """What is wrong with an upstream now; shares are 0 to 1 of the requests."""

    def __init__(self):
        self.slowdown = 1.0
        self.slow = 1.0
        self.fail = 0.0
        self.shed = False
        self.reset = 0.0
        self.lose = 0.0
        self.cut = 0.0
        self.extra = False
        self.late_extra = False
        self.unsigned = False
        self.until_close = False
        self.early = 0
        self.hang = False
        self.mute_health = False
        self.health_status = 200
        self.crash_path = ""


class UpstreamEmulator:
    """One upstream; `runs` has the call id of each request that it began to run."""

    def __init__(self, id: str, service: str, zone: str, work: float = 0.01, seed: int = 1):
        self.id = id
        self.service = service
        self.zone = zone
        self.work = work
        self.slots = 2
        self.queue = 4
        self.random = Random(seed)
        self.faults = UpstreamFaults()
        self.running = 0
        self.waiting = 0
        self.free = curio.Semaphore(self.slots)
        self.runs: list[str] = []
        self.seen: list[Incoming] = []
        self.probes = 0
        self.cancelled = 0
        self.draining = False
        self.born: int | None = None
        self.address = ""
        self.listener: curio.Task | None = None
        self.wires: set[Wire] = set()

    def entry(self) -> dict:
        """Return its row in the platform's list."""
        born = {} if self.born is None else {"born": self.born}
        return {
            **born,
            "address": self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": 2},
            "status": {
                "state": "draining" if self.draining else "ready",
                "sequence": 1,
                "cold_remaining_s": 0,
            },
        }

    async def start(self, address: str = "127.0.0.1:0") -> None:
        host, _, port = address.rpartition(":")
        sock = curio.tcp_server_socket(host, int(port), reuse_address=True, backlog=512)
        self.address = "{}:{}".format(*sock.getsockname()[:2])
        self.listener = await curio.spawn(curio.network.run_server, sock, self.serve, daemon=True)

    async def crash(self) -> None:
        """End at once: the listener and all connections go."""
        await self.listener.cancel()
        for wire in list(self.wires):
            break_off(wire)

    async def serve(self, client, peer) -> None:
        wire = Wire(client)
        self.wires.add(wire)
        try:
            while (request := await wire.request()) and await self.handle(wire, request):
                pass
        except GONE:
            pass
        finally:
            self.wires.discard(wire)
            await client.close()

    def chance(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    def load(self) -> bytes:
        figures = (self.running, self.waiting, self.slots, int(self.faults.slowdown * 100))
        return b",".join(b"%d" % figure for figure in figures)

    async def handle(self, wire: Wire, request: Incoming) -> bool:
        if request.target == "/health":
            return await self.health(wire)
        self.seen.append(request)
        if request.header(b"x-expect-instance") != self.id:
            return await wire.answer(421, [(b"x-instance-id", self.id.encode())], b"")
        if self.faults.shed or self.running + self.waiting >= self.slots + self.queue:
            return await wire.answer(503, [(b"x-not-executed", b"1"), *self.common(request)], b"")
        return await self.run(wire, request)

    async def health(self, wire: Wire) -> bool:
        self.probes += 1
        if self.faults.mute_health:
            await curio.sleep(3600)
        status = 503 if self.draining else self.faults.health_status
        headers = [(b"x-instance-id", self.id.encode()), (b"x-instance-load", self.load())]
        return await wire.answer(status, headers, b"")

    def common(self, request: Incoming) -> list:
        return [
            (b"x-attempt-id", request.header(b"x-attempt-id").encode()),
            (b"x-instance-load", self.load()),
        ]

    async def run(self, wire: Wire, request: Incoming) -> bool:
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append(request.header(b"x-attempt-id"))
            if self.faults.crash_path and request.target.startswith(self.faults.crash_path):
                await curio.spawn(self.crash(), daemon=True)
                await curio.sleep(3600)
            if not await self.worked(wire):
                return False
        finally:
            self.running -= 1
            await self.free.release()
        return await self.reply(wire, request)

    async def worked(self, wire: Wire) -> bool:
        """Work; return False if the other end closed meanwhile, which ends the work."""
        faults = self.faults
        seconds = 3600 if faults.hang else self.work * faults.slow * faults.slowdown
        watch = await curio.spawn(wire.closed, daemon=True)
        try:
            async with curio.ignore_after(seconds):
                await watch.wait()
                self.cancelled += 1
                return False
        finally:
            await watch.cancel()
        return True

    async def reply(self, wire: Wire, request: Incoming) -> bool:
        faults = self.faults
        if self.chance(faults.reset) or self.chance(faults.lose):
            return False
        headers = self.common(request)
        if self.chance(faults.fail):
            return await wire.answer(500, [*headers, SIGNATURE], b"failed")
        if not faults.unsigned:
            headers.append(SIGNATURE)
        body = f"{self.id} {request.header(b'x-attempt-id')} {len(request.body)}".encode()
        if faults.until_close:
            lines = [b"HTTP/1.1 200 OK"] + [name + b": " + value for name, value in headers]
            await wire.sock.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + body)
            return False
        kept = await wire.answer(200, headers, body, cut=self.chance(faults.cut))
        if faults.extra or faults.late_extra:
            if faults.late_extra:
                await curio.sleep(0.05)
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
            extra += b"X-Attempt-Id: " + request.header(b"x-attempt-id").encode()
            await wire.sock.sendall(extra + b"\r\nX-Server-Signature: s\r\n\r\nextra")
        return kept
