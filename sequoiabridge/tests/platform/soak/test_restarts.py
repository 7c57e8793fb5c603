"""What daemon processes know after they have started again."""

import signal
import time

import curio

from ....relay.block_trials import TRIAL_DELAYS
from ....selector import LazySelector
from ..environment import Connection
from .deployment import Deployment

POISON = "/read/poison"


async def send(daemon, call_id):
    """Send the request that crashes upstreams; return the status, 0 without an answer."""
    connection = Connection(await curio.open_connection("127.0.0.1", daemon.callers))
    reply = await connection.call(POISON, call_id)
    await connection.sock.close()
    return reply.status


def test_a_restarted_daemon_sends_a_blocked_request_to_no_upstream():
    # Each process that started again let three more upstreams die. The fleet's first trial has been
    # taken before the restart, and the next one is due only after the test.
    started_at = time.monotonic()
    deployment = Deployment(1, 3, lambda: time.monotonic() - started_at)
    deployment.upstream_counts = {"reads": 9, "approvals": 1}

    async def run():
        await deployment.start()
        for upstream in deployment.upstreams.values():
            upstream.set(crash_path=POISON)
            # Without its proxy, which accepts connections for an upstream that has died.
            upstream.address = upstream.proxy.target
            await deployment.store.put("servers", upstream.id, upstream.entry())
        first, second = deployment.daemons[:2]
        await curio.sleep(0.5)
        number = 0
        while await send(first, f"before-{number}") != 503 and number < 20:
            number += 1
            await curio.sleep(0.2)
        assert await send(second, "second") == 503
        await curio.sleep(TRIAL_DELAYS[0] + 0.1)
        assert await send(second, "trial") == 502
        first.signal(signal.SIGKILL)
        await curio.sleep(1.0)
        assert await deployment.wait_until_ready(first)
        await curio.sleep(0.5)
        statuses = [await send(first, f"after-{n}") for n in range(3)]
        deployment.read_logs(started_at)
        await deployment.stop_daemons()
        after = [a.id for a in deployment.record.arrivals if a.id.startswith("after")]
        assert (statuses, after) == ([503, 503, 503], [])
        assert [a.id for a in deployment.record.arrivals if a.id == "trial"] == ["trial"]

    try:
        curio.run(run, selector=LazySelector())
    finally:
        deployment.close()
