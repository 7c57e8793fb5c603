"""Tests of the memory for answers that their callers do not take."""

import curio

from ...callers.memory import STALL_SECONDS
from .server_fixture import GET, ok, read_all, serve, wait_until

ANSWER_BYTES = 20_000_000
"""More than the system takes over from the server."""


async def answer(request):
    return ok(b"x" * ANSWER_BYTES)


def is_waiting(server):
    return any(c.transport.holding.wait_began is not None for c in server.open_connections)


def test_an_answer_that_its_caller_does_not_take_is_accounted_for():
    # Nothing limited what all such answers held together.
    async def test(server, handler, connect):
        sock = await connect(GET)
        await wait_until(lambda: server.memory.held > ANSWER_BYTES / 2)
        data = await sock.recv(65536)
        while len(data) < ANSWER_BYTES:
            data += await sock.recv(1 << 20)
        await wait_until(lambda: server.memory.held == 0 and handler.clean_ends == [True])

    serve(answer, test)


def test_an_answer_for_which_there_is_no_memory_breaks_off():
    async def test(server, handler, connect):
        server.memory.limit = ANSWER_BYTES / 2
        sock = await connect(GET)
        await wait_until(lambda: handler.clean_ends == [False])
        assert len(await read_all(sock)) < ANSWER_BYTES
        assert server.memory.held == 0 and server.memory.refused == 1

    serve(answer, test)


def test_a_caller_that_takes_nothing_makes_room_for_others():
    async def test(server, handler, connect):
        server.memory.limit = 1.5 * ANSWER_BYTES
        slow = await connect(GET)
        await wait_until(lambda: is_waiting(server))
        server.clock.advance(STALL_SECONDS)
        sock = await connect(GET)
        data = b""
        while len(data) < ANSWER_BYTES:
            data += await sock.recv(1 << 20)
        assert handler.clean_ends[0] is False and server.memory.evicted == 1
        await slow.close()

    serve(answer, test)


def test_a_caller_that_reads_slowly_gets_its_answer():
    async def test(server, handler, connect):
        sock = await connect(GET)
        data = b""
        while len(data) < ANSWER_BYTES:
            data += await sock.recv(1 << 20)
            await curio.sleep(0)
        await wait_until(lambda: handler.clean_ends == [True])

    serve(answer, test)
