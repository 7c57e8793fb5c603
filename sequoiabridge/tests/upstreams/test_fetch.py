"""Large bodies to and from the platform do not block other tasks."""

import curio
import pytest

from ...exceptions import UpstreamFailed
from ...pipeline.exchange import Answer, Body
from ...upstreams.base import Connector, UpstreamConnection
from ...upstreams.fetch import STEP_BYTES, fetch
from .scripted import run_against

SIZE = 4 << 20
BODY = bytes(range(256)) * (SIZE // 256)


class ImmediateConnector(Connector, UpstreamConnection):
    """A connector and connection that never wait, like those of a fast platform."""

    is_reusable = True

    def __init__(self, answer: bytes = b""):
        self.answer = answer
        self.sent = bytearray()
        self.largest = 0

    async def acquire(self, address, *, fresh, timeout):
        return self

    def has_free(self, address):
        return True

    async def release(self, connection):
        pass

    async def close_older(self, address, opened_before):
        pass

    async def is_reachable(self, address, timeout):
        return True

    async def send(self, request):
        while request.body and (piece := await request.body.read()):
            self.largest = max(self.largest, len(piece))
            self.sent += piece

    async def read_head(self):
        return Answer(200, [], len(self.answer), Pieces(self.answer))

    async def close(self):
        pass


class Pieces(Body):
    """A body in pieces of the size that a socket delivers."""

    def __init__(self, data: bytes):
        self.rest = memoryview(data)

    async def read(self):
        piece, self.rest = self.rest[:65536], self.rest[65536:]
        return bytes(piece)


async def fetch_and_count_turns(connector, body):
    """Return the answer and how often another task ran during the fetch."""
    turns = 0

    async def other_task():
        nonlocal turns
        while True:
            turns += 1
            await curio.sleep(0)

    other = await curio.spawn(other_task)
    answer = await fetch(connector, "a:1", b"PUT", b"/o", 1.0, body)
    await other.cancel()
    return answer, turns


def test_other_tasks_run_while_a_large_body_is_sent():
    connector = ImmediateConnector()
    answer, turns = curio.run(fetch_and_count_turns, connector, BODY)
    assert answer.status == 200 and bytes(connector.sent) == BODY
    assert connector.largest <= STEP_BYTES and turns >= SIZE // STEP_BYTES


def test_other_tasks_run_while_a_large_answer_is_read():
    answer, turns = curio.run(fetch_and_count_turns, ImmediateConnector(BODY), b"")
    assert answer.body == BODY and turns >= SIZE // STEP_BYTES


def test_an_answer_without_end_is_not_read_beyond_its_limit():
    async def send_without_end(sock):
        await sock.recv(1000)
        await sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n")
        while True:
            await sock.sendall(bytes(65536))
            await curio.sleep(0)

    async def test(connector, address, connections):
        with pytest.raises(UpstreamFailed):
            await fetch(connector, address, b"GET", b"/", 1.0, max_body=1_000_000)
        assert connector.pools[address].count == 0

    run_against(send_without_end, test)
