"""The soak's deployment: daemon processes, and an emulated store and upstreams behind proxies."""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random

import curio

from ..environment import HOST, SETTINGS, Connection, document, free_port, route
from ..store_emulator import StoreEmulator
from ..upstream_emulator import UpstreamEmulator
from .oracle import Record, UpstreamRun
from .proxy import Proxy

READY_TIMEOUT = 15.0
"""Seconds within which a started daemon should be ready."""

RESTART_DELAY = 0.1
"""Seconds between checks whether a daemon has ended and must be restarted."""


class Daemon:
    """A daemon process, its settings, and the proxy for its connections to the store."""

    def __init__(self, name: str, data_centre: str, store: Proxy, folder: Path):
        self.name = name
        self.store = store
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.ini"
        self.callers, self.ready = free_port(), free_port()
        text = SETTINGS.format(store=store.address, port=free_port(), port2=free_port())
        text = text.replace("vm-1", name).replace("= here", f"= {data_centre}")
        text = text.replace("callers = 127.0.0.1:0", f"callers = 127.0.0.1:{self.callers}")
        text = text.replace("ready = 127.0.0.1:0", f"ready = 127.0.0.1:{self.ready}")
        self.settings.write_text(text.replace("retry_slack = 10000", "retry_slack = 60"))
        self.process: subprocess.Popen | None = None
        self.starts = 1

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        command = [sys.executable, "-m", "sequoiabridge.commands.gateway", str(self.settings)]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log)

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def supervise(self) -> None:
        """Restart the process whenever it ends, as the platform does."""
        while True:
            await curio.sleep(RESTART_DELAY)
            if self.process.poll() is not None:
                self.starts += 1
                self.start()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


class RecordedUpstream(UpstreamEmulator):
    """An upstream that records each run."""

    def __init__(self, record: Record, clock, **more):
        super().__init__(**more)
        self.record = record
        self.clock = clock

    async def run(self, connection, request):
        """Record the request, then run it."""
        call_id = request.header(b"x-attempt-id")
        size = len(request.body)
        self.record.runs.append(UpstreamRun(call_id, self.id, self.service, self.clock(), size))
        return await super().run(connection, request)


class Deployment:
    """Store, upstreams, daemons and proxies; `close` stops the processes."""

    def __init__(self, seed: int, daemons: int, clock):
        self.random = Random(seed)
        self.clock = clock
        self.record = Record()
        self.store = StoreEmulator()
        self.folder = tempfile.TemporaryDirectory(prefix="sequoia-soak-")
        self.daemon_count = daemons
        self.daemons: list[Daemon] = []
        self.upstreams: dict[str, RecordedUpstream] = {}
        self.proxies: dict[str, Proxy] = {}
        self.version = 0
        self.upstream_count = 0

    async def start(self) -> None:
        """Start all parts and wait until all daemons are ready."""
        sock = curio.tcp_server_socket("127.0.0.1", 0, backlog=512)
        address = "{}:{}".format(*sock.getsockname()[:2])
        await curio.spawn(curio.network.run_server, sock, self.store.serve, daemon=True)
        await self.change_configuration()
        for service, count in (("reads", 5), ("approvals", 4)):
            for _ in range(count):
                await self.add_upstream(service)
        for number in range(self.daemon_count):
            proxy = Proxy(address, self.random)
            await proxy.start()
            data_centre = ("here", "there")[number % 2]
            daemon = Daemon(f"vm-{number}", data_centre, proxy, Path(self.folder.name))
            self.daemons.append(daemon)
            daemon.start()
            await curio.spawn(daemon.supervise(), daemon=True)
        for daemon in self.daemons:
            await self.wait_until_ready(daemon)

    async def wait_until_ready(self, daemon: Daemon) -> bool:
        """Wait until a daemon is ready; return False after `READY_TIMEOUT`."""
        async with curio.ignore_after(READY_TIMEOUT):
            while not await self.is_ready(daemon):
                await curio.sleep(0.05)
            return True
        return False

    async def is_ready(self, daemon: Daemon) -> bool:
        """Check the readiness of a daemon as the platform's balancer does."""
        try:
            async with curio.timeout_after(1.0):
                connection = Connection(await curio.open_connection("127.0.0.1", daemon.ready))
                status = (await connection.call("/ready")).status
                await connection.sock.close()
                return status == 200
        except (OSError, curio.TaskTimeout):
            return False

    async def change_configuration(self) -> None:
        """Write a new configuration that moves the alternating route to the other service."""
        self.version += 1
        service = ("reads", "approvals")[self.version % 2]
        alternating_route = route("/mark/", "idempotent", service)
        self.record.route_changes.append((self.clock(), service))
        await self.store.put("op", "config", document(self.version, [alternating_route]))

    async def add_upstream(self, service: str) -> str:
        """Start an upstream behind a proxy and add its entry to the store."""
        self.upstream_count += 1
        id = f"{service}-{self.upstream_count}"
        data_centre = self.random.choice(("here", "there"))
        upstream = RecordedUpstream(
            self.record,
            self.clock,
            id=id,
            service=service,
            data_centre=data_centre,
            processing_time=0.03,
            seed=self.upstream_count,
        )
        await upstream.start()
        proxy = Proxy(upstream.address, self.random)
        await proxy.start()
        upstream.address = proxy.address
        self.upstreams[id], self.proxies[id] = upstream, proxy
        await self.store.put("servers", id, upstream.entry())
        return id

    async def drain_upstream(self, id: str) -> None:
        """List an upstream as draining; remove and stop it 4 s later."""
        upstream = self.upstreams.pop(id)
        upstream.draining = True
        await self.store.put("servers", id, upstream.entry())
        self.record.drains[id] = self.clock()
        await curio.sleep(4.0)
        await self.store.put("servers", id, None)
        await upstream.crash()

    def close(self) -> None:
        """Kill all daemon processes and delete their folder."""
        for daemon in self.daemons:
            daemon.kill()
        self.folder.cleanup()


__all__ = ["HOST", "Daemon", "Deployment"]
