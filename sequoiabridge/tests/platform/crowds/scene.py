"""One daemon of the platform as a process on a small machine, its upstreams, and a crowd."""

from __future__ import annotations

import time

import curio

from ....selector import LazySelector
from ..environment import Connection, route
from ..soak.deployment import Deployment
from .crowd import Crowd
from .observer import ProcessObserver

MEMORY_MB = 64
"""Memory of the daemon's machine, in megabytes."""

MAX_MEMORY = MEMORY_MB * 1000 * 1000

MAX_DESCRIPTORS = 400
"""Number of descriptors that the machine lets the daemon open."""

ROUTE_TIMEOUT = 60.0
"""Timeout of the routes in seconds; longer than any test, so that it ends no request."""

MAX_BODY = 2_000_000
"""Maximum size of a request's body in bytes by the configuration."""

ORDINARY_TIMEOUT = 20.0
"""Seconds after which the test fails since an ordinary request has no answer."""

READ_TIMEOUT = 30.0
"""Seconds after which the test goes on although the daemon has not read all that was sent."""

MAX_TRIES = 5
"""Tries of an ordinary caller, as its retries after a refusal are part of the protocol."""

MAX_PAUSE = 1.0
"""Maximum seconds that it waits when it is told to come back."""

PROMISES = {408, 429, 503}
"""Statuses after which a request certainly did not run."""


class CrowdScene:
    """A deployment with one daemon, whose process is observed.

    Attributes:
        address: "IP:port" of the callers' port.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.daemon = deployment.daemons[0]
        self.address = f"127.0.0.1:{self.daemon.callers}"
        self.observer = ProcessObserver(self.daemon.process.pid)
        self.crowd = Crowd([])

    async def let_in(self, crowd: Crowd, target: str = "/read/x", method: str = "GET") -> None:
        """Let a crowd come, and check that an ordinary request is answered while it stays."""
        self.crowd = crowd
        watch = await curio.spawn(self.observer.watch_descriptors, daemon=True)
        await crowd.come()
        await self.observer.wait_until_read(self.address, READ_TIMEOUT)
        await self.check_ordinary_request(target, method)
        await watch.cancel()

    async def check_ordinary_request(
        self, target: str = "/read/x", method: str = "GET", body: bytes = b""
    ) -> None:
        """Check that an ordinary request is answered."""
        async with curio.timeout_after(ORDINARY_TIMEOUT):
            for number in range(MAX_TRIES):
                port = self.daemon.callers
                connection = Connection(await curio.open_connection("127.0.0.1", port))
                reply = await connection.call(
                    target, f"o{number}", method=method, body=body, timeout_ms=10_000
                )
                await connection.sock.close()
                if reply.status not in PROMISES:
                    break
                await curio.sleep(min(MAX_PAUSE, float(reply.headers.get(b"retry-after", 0))))
        assert reply.status == 200 and reply.is_complete

    def check_process(self) -> None:
        """Check that the process has never ended, and kept within its machine."""
        assert self.daemon.starts == 1 and self.daemon.process.poll() is None
        memory, descriptors = self.observer.peak_memory(), self.observer.peak_descriptors
        print(f"peak memory {memory / 1e6:.1f} MB, descriptors {descriptors}")
        assert memory <= MAX_MEMORY
        assert descriptors <= MAX_DESCRIPTORS


def run_scene(test, slots: int = 2, **limits) -> None:
    """Run `test(scene)` beside one daemon on a small machine; check its process at the end.

    Args:
        limits: Limits of the configuration that differ from those of the tests.
    """

    async def main():
        started_at = time.monotonic()
        deployment = Deployment(1, 1, lambda: time.monotonic() - started_at)
        deployment.upstream_counts = {"reads": 3, "approvals": 3}
        deployment.uses_proxies = False
        deployment.slots = slots
        deployment.first_start, deployment.retry_window, deployment.retry_slack = True, 0.1, 1000.0
        deployment.vm_options = f"memory = {MEMORY_MB}MB\ndescriptors = {MAX_DESCRIPTORS}\n"
        deployment.limits = {"max_body_bytes": MAX_BODY, **limits}
        deployment.extra_routes = [
            route("/slow-read/", "idempotent", "reads", timeout_s=ROUTE_TIMEOUT),
            route("/slow-upload/", "upload", "approvals", timeout_s=ROUTE_TIMEOUT),
        ]
        try:
            await deployment.start()
            scene = CrowdScene(deployment)
            await test(scene)
            scene.check_process()
            await scene.crowd.leave()
            await deployment.stop_daemons()
        finally:
            deployment.close()

    curio.run(main, selector=LazySelector())
