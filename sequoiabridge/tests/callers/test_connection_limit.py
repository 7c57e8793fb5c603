"""Tests of what happens to callers when as many connections are open as the machine allows."""

import curio

from ...callers.limits import CallerLimits
from ...callers.machine import MachineLimits
from ...callers.transport import MIN_IDLE_SECONDS, CallerTransport
from .server_fixture import GET, ok, read_all, read_until, serve, wait_until

OK_END = b"\r\n\r\nx"


async def answer(request):
    return ok(b"x")


async def connected(server, connect, count, data=b""):
    """Open connections one after the other; return them once the server waits for each."""
    socks = []
    for number in range(count):
        socks.append(await connect(data))
        await wait_until(lambda n=number: waiting_count(server) == n + 1)
    return socks


def waiting_count(server):
    return sum(c.transport.holding.wait_began is not None for c in server.open_connections)


def test_an_idle_connection_is_closed_to_make_room_for_a_new_one():
    async def test(server, handler, connect):
        (idle,) = await connected(server, connect, 1)
        server.clock.advance(MIN_IDLE_SECONDS)
        sock = await connect(GET)
        assert (await read_until(sock, OK_END)).startswith(b"HTTP/1.1 200")
        assert await idle.recv(1) == b"" and server.closed_waiting_count == 1
        await wait_until(lambda: server.closing_count == 0)

    serve(answer, test, max_connections=1)


def test_an_unfinished_head_makes_room_before_idle_connections_do():
    async def test(server, handler, connect):
        (idle,) = await connected(server, connect, 1)
        server.clock.advance(MIN_IDLE_SECONDS)
        slow = await connect(b"GET / HT")
        await wait_until(lambda: waiting_count(server) == 2)
        server.clock.advance(MIN_IDLE_SECONDS)
        sock = await connect(GET)
        assert (await read_until(sock, OK_END)).startswith(b"HTTP/1.1 200")
        assert b" 408 " in await read_all(slow)
        await idle.sendall(GET)
        assert (await read_until(idle, OK_END)).startswith(b"HTTP/1.1 200")

    serve(answer, test, max_connections=2)


def test_a_connection_with_a_request_in_progress_makes_no_room():
    async def hang(request):
        await curio.sleep(3600)

    async def test(server, handler, connect):
        await connect(GET)
        await wait_until(lambda: handler.requests)
        server.clock.advance(10 * MIN_IDLE_SECONDS)
        sock = await connect(GET)
        assert b" 503 " in await read_all(sock)
        assert server.rejected_count == 1 and server.closed_waiting_count == 0

    serve(hang, test, max_connections=1)


def test_a_connection_on_which_a_request_has_just_come_makes_no_room(monkeypatch):
    # It counted as being closed for as long as it was served, and nobody else made room.
    monkeypatch.setattr(CallerTransport, "_has_input", lambda self: True)

    async def test(server, handler, connect):
        (idle,) = await connected(server, connect, 1)
        server.clock.advance(MIN_IDLE_SECONDS)
        assert b" 503 " in await read_all(await connect(GET))
        assert server.closing_count == server.closed_waiting_count == 0
        await idle.sendall(GET)
        assert (await read_until(idle, OK_END)).startswith(b"HTTP/1.1 200")

    serve(answer, test, max_connections=1)


def test_the_limits_follow_from_the_memory_and_the_descriptors():
    limits = CallerLimits()
    MachineLimits(300_000_000, 4100).apply_to(limits)
    assert limits.allowed_connections == 1560
    MachineLimits(100_000_000, 4100).apply_to(limits)
    assert limits.allowed_connections == 813
    limits.max_head *= 2
    MachineLimits(100_000_000, 4100).apply_to(limits)
    assert limits.allowed_connections == 488


def test_without_settings_the_limits_are_those_of_the_system():
    limits = MachineLimits()
    assert limits.memory > 0 and limits.descriptors > 0 and limits.tunnels > 0
