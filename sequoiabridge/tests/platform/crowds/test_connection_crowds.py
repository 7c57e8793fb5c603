"""Crowds of callers that open connections, do not end their heads, or take no answers."""

import curio
import pytest

from .crowd import Crowd, CrowdCaller, head
from .scene import MAX_DESCRIPTORS, run_scene

CONNECTIONS = MAX_DESCRIPTORS + 200
"""Number of callers at a port; more than the descriptors of the daemon."""

HEAD_BYTES = 12_000

ANSWER_BYTES = 250_000
"""Size of the answers that callers do not take; shorter than what is streamed."""

PIPELINED = head("GET", "/slow-read/takes-30000ms") + b"GET /" + b"x" * 60_000


def port_address(scene, port):
    return {
        "callers": scene.address,
        "ready": f"127.0.0.1:{scene.daemon.ready}",
        "operators": scene.daemon.operators_address,
        "peers": scene.daemon.peer_address,
    }[port]


@pytest.mark.parametrize("port", ["callers", "ready", "operators", "peers"])
def test_many_connections_at_a_port_leave_descriptors_for_the_rest(port):
    # The ports' limits did not follow from the descriptors that the process may open.
    async def test(scene):
        data = b"GET / HTTP/1.1\r\nX-Long: " + b"x" * (0 if port == "peers" else HEAD_BYTES)
        address = port_address(scene, port)
        await scene.let_in(Crowd([CrowdCaller(address, data) for _ in range(CONNECTIONS)]))

    run_scene(test)


def test_many_connections_at_all_ports_together_leave_descriptors_for_the_rest():
    async def test(scene):
        addresses = [port_address(scene, p) for p in ("callers", "ready", "operators", "peers")]
        callers = [
            CrowdCaller(address, b"GET / HTTP/1.1\r\n")
            for address in addresses
            for _ in range(CONNECTIONS)
        ]
        await scene.let_in(Crowd(callers))

    run_scene(test)


def test_answers_that_nobody_takes_fit_into_memory():
    # Each was kept whole, twice, until its caller's time was over.
    async def test(scene):
        for upstream in scene.deployment.upstreams.values():
            upstream.set(answer_size=ANSWER_BYTES)
        data = head("GET", "/slow-read/x")
        callers = [
            CrowdCaller(scene.address, data, takes_answers=False) for _ in range(CONNECTIONS)
        ]
        await scene.let_in(Crowd(callers))
        # The upstreams answer some calls at a time; the rest waits for its turn.
        await curio.sleep(3.0)
        await scene.check_ordinary_request()

    run_scene(test, slots=8)


def test_dumps_that_nobody_takes_fit_into_memory():
    async def test(scene):
        data = 20 * head("GET", "/dump")
        callers = [
            CrowdCaller(scene.daemon.operators_address, data, takes_answers=False)
            for _ in range(CONNECTIONS)
        ]
        await scene.let_in(Crowd(callers))

    run_scene(test)


def test_pipelined_bytes_behind_a_request_fit_into_memory():
    async def test(scene):
        callers = [CrowdCaller(scene.address, PIPELINED) for _ in range(CONNECTIONS)]
        # The crowd's requests are whole, and may take all upstreams of their service.
        await scene.let_in(Crowd(callers), "/approve/x", "POST")

    run_scene(test)
