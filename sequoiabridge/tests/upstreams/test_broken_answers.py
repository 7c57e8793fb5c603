"""Answers that are none, or that break off while their request is still being sent."""

import socket

import pytest

from ...exceptions import UpstreamFailed
from .scripted import HELLO, call, run_against

FRAMED = b"\r\nContent-Length: 5\r\n\r\nhello"
FIRST_LINES = [
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/3.0 200 OK",
]
LINES = [
    b" X-More: 1",
    b"\tX-More: 1",
    b"X More: 1",
    b"X-More : 1",
    b"X\x01More: 1",
    b"\x0bX-More: 1",
    b"\x00X-More: 1",
    b"\x7fX-More: 1",
    b": 1",
]
HEADS = {
    **{line.decode(): line + FRAMED for line in FIRST_LINES},
    **{f"{line!r}": b"HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + FRAMED for line in LINES},
    "name before the length": b"HTTP/1.1 200 OK\r\nX-First: 1\r\n Content-Length: 5\r\n\r\nhello",
    "name after the length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n Transfer: 1\r\n\r\nhello",
}
"""By name, answers whose heads are none of HTTP/1."""


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("name", HEADS)
def test_an_answer_with_a_malformed_head_is_none(name, is_kept):
    # Callers got it as an answer: a status of 600, a field whose name began with a blank.
    async def upstream(sock):
        if is_kept:
            await sock.recv(65536)
            await sock.sendall(HELLO)
        await sock.recv(65536)
        await sock.sendall(HEADS[name] + HELLO)
        await sock.shutdown(socket.SHUT_WR)

    async def test(connector, address, connections):
        if is_kept:
            await call(await connector.acquire(address, fresh=False, timeout=1))
        connection = await connector.acquire(address, fresh=False, timeout=1)
        with pytest.raises(UpstreamFailed):
            await call(connection)
        await connector.release(connection)
        assert not connection.is_reusable

    run_against(upstream, test, allow_until_close=True)
