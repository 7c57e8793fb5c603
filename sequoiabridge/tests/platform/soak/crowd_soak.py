"""A soak of crowds of callers that stop short, send too much, or come again and again.

Ordinary callers call beside them, while daemons stop, end and start again.
"""

from collections.abc import Callable
from enum import Enum

import curio

from ..crowds.crowd import Crowd, CrowdCaller, chunked, head
from ..crowds.observer import ProcessObserver
from ..environment import route
from .deployment import Daemon
from .soak import Soak

MEMORY_MB = 96
DESCRIPTORS = 600
"""Size of the machine of each daemon."""

MAX_BODY_BYTES = 16_000_000
BODY_BYTES = 1_040_000
"""Size of a body that is buffered as a whole."""

LONG_BODY_BYTES, SENT_BYTES = 12_000_000, 2_000_000
"""Size of a body that is forwarded while it comes in, and what is sent of it."""

CROWD_SIZES = (30, 120)
CONNECTION_COUNTS = (200, 700)
STAY_SECONDS = (0.5, 4.0)
VISITS = (2, 8)

ROUTE_TIMEOUT = 30.0
"""Timeout in seconds of the routes that crowds use."""

SAMPLE_INTERVAL = 0.1
"""Seconds between two looks at the daemons' processes."""

READ, UPLOAD = "/crowd-read/x", "/crowd-upload/x"


class CrowdScenario(Enum):
    """What a soak of crowds plays."""

    RANDOM = "random"
    BODIES = "bodies"
    UPLOADS = "uploads"
    CONNECTIONS = "connections"
    RETURNING = "returning"


class CrowdSoak(Soak):
    """One run with a fixed seed.

    Attributes:
        crowds: Number of crowds that have come.
        observers: Observers of the daemons' processes, by process id.
        violations: What was seen of the processes that must not be.
    """

    def __init__(self, seed: int, seconds: float, daemons: int, scenario: CrowdScenario):
        super().__init__(seed, seconds, daemons)
        self.scenario = scenario
        self.crowds = 0
        self.observers: dict[int, ProcessObserver] = {}
        self.violations: list[str] = []
        deployment = self.deployment
        deployment.uses_proxies = False
        deployment.limits = {"max_body_bytes": MAX_BODY_BYTES}
        deployment.vm_options = f"memory = {MEMORY_MB}MB\ndescriptors = {DESCRIPTORS}\n"
        deployment.extra_routes = [
            route("/crowd-read/", "idempotent", "reads", timeout_s=ROUTE_TIMEOUT),
            route("/crowd-upload/", "upload", "approvals", timeout_s=ROUTE_TIMEOUT),
        ]

    async def run(self) -> list[str]:
        """Run the soak; return a message for each violation."""
        watch = await curio.spawn(self.watch_processes)
        found = await super().run()
        await watch.cancel()
        return found + self.violations

    def summary(self) -> str:
        """Return the numbers of calls and crowds, and the highest peaks, as text."""
        observers = self.observers.values()
        memory = max(observer.highest_memory for observer in observers) / 1e6
        descriptors = max(observer.peak_descriptors for observer in observers)
        peaks = f"peaks {memory:.0f} MB, {descriptors} descriptors"
        return f"{super().summary()}, {self.crowds} crowds, {peaks}"

    async def watch_processes(self) -> None:
        """Check that no daemon ends by itself or leaves the bounds of its machine."""
        while True:
            for daemon in self.deployment.daemons:
                if daemon.process is not None:
                    self.check_process(daemon)
            await curio.sleep(SAMPLE_INTERVAL)

    def check_process(self, daemon: Daemon) -> None:
        """Check one process; each violation is reported once for each process."""
        process = daemon.process
        observer = self.observers.get(process.pid)
        if observer is None:
            observer = self.observers[process.pid] = ProcessObserver(process.pid)
        if process.poll() is not None:
            if daemon.down_since is None:
                self.report(observer, f"{daemon.name}: ended by itself with {process.returncode}")
            return
        observer.look()
        if observer.highest_memory > MEMORY_MB * 1_000_000:
            self.report(observer, f"{daemon.name}: {observer.highest_memory} bytes of memory")
        if observer.peak_descriptors > DESCRIPTORS:
            self.report(observer, f"{daemon.name}: {observer.peak_descriptors} descriptors")

    def report(self, observer: ProcessObserver, message: str) -> None:
        """Report a violation, unless one was reported of the process."""
        if not observer.is_reported:
            observer.is_reported = True
            self.violations.append(f"{message}, at {self.now():.2f}")

    def fault_kinds(self) -> list:
        """Return the faults to choose from; some stand twice."""
        crowds: dict[CrowdScenario, Callable] = {
            CrowdScenario.BODIES: self.send_bodies,
            CrowdScenario.UPLOADS: self.send_long_uploads,
            CrowdScenario.CONNECTIONS: self.open_connections,
            CrowdScenario.RETURNING: self.send_and_return,
        }
        if self.scenario is not CrowdScenario.RANDOM:
            return [crowds[self.scenario]]
        planned = [self.stop_daemon, self.change_configuration, self.reload_settings]
        faults = [self.kill_daemon, self.pause_daemon, self.inject_upstream_fault]
        return [*planned, *faults, *crowds.values(), *crowds.values()]

    async def send_bodies(self, seconds: float) -> None:
        """Send bodies that stop short of their end, or are too long."""
        whole = head("POST", UPLOAD, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)
        chunks = head("POST", UPLOAD, "Transfer-Encoding: chunked")
        chunk_bytes = self.random.choice((128, 4096, 65536))
        is_endless = self.random.random() < 0.25
        data = self.random.choice((whole, chunks + chunked(BODY_BYTES, chunk_bytes)))
        count, in_pieces = self.random.randint(*CROWD_SIZES), self.random.random() < 0.5
        if is_endless:
            block = chunked(65536, 65536)
            await self.let_in("callers", count, chunks, block=block, max_bytes=2 * MAX_BODY_BYTES)
        else:
            await self.let_in("callers", count, data, in_pieces=in_pieces)

    async def send_long_uploads(self, seconds: float) -> None:
        """Begin uploads that are forwarded while they come in."""
        data = head("POST", UPLOAD, f"Content-Length: {LONG_BODY_BYTES}") + b"x" * SENT_BYTES
        await self.let_in("callers", self.random.randint(*CROWD_SIZES), data)

    async def open_connections(self, seconds: float) -> None:
        """Open connections at any port, and begin a head on some."""
        port = self.random.choice(("callers", "callers", "ready", "operators", "peers"))
        data = self.random.choice((b"", b"GET /read/x HTTP/1.1\r\nX-Long: " + b"x" * 12_000))
        await self.let_in(port, self.random.randint(*CONNECTION_COUNTS), data)

    async def send_and_return(self, seconds: float) -> None:
        """Send bodies, reset the connections, and come again."""
        data = head("POST", UPLOAD, f"Content-Length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)
        count, visits = self.random.randint(*CROWD_SIZES) // 2, self.random.randint(*VISITS)
        await self.let_in("callers", count, data, visits=visits)

    async def let_in(self, port: str, count: int, data: bytes, **more) -> None:
        """Let a crowd come to a port of one daemon, stay for some seconds, and leave."""
        daemon = self.random.choice(self.deployment.daemons)
        addresses = {
            "callers": f"127.0.0.1:{daemon.callers}",
            "ready": f"127.0.0.1:{daemon.ready}",
            "operators": daemon.operators_address,
            "peers": daemon.peer_address,
        }
        self.crowds += 1
        stay = self.random.uniform(*STAY_SECONDS)
        crowd = Crowd([CrowdCaller(addresses[port], data, **more) for _ in range(count)])
        began = self.now()
        await crowd.come()
        await curio.sleep(stay)
        await crowd.leave()
        self.deployment.record.faults.append((began, self.now(), f"crowd at {daemon.name}"))
