"""Large bodies to and from the platform do not hold up the calls beside them."""

import curio
import h11

from ...store.http_connection import STEP, PlatformConnection

SIZE = 4 << 20
PUT = h11.Request(method="PUT", target="/o", headers=[("host", "h"), ("content-length", str(SIZE))])
BODY = bytes(range(256)) * (SIZE // 256)


class ReadySocket:
    """Takes and gives bytes without ever waiting, as a fast platform does."""

    def __init__(self, answer: bytes):
        self.answer = memoryview(answer)
        self.sent = bytearray()
        self.largest = 0

    async def sendall(self, data):
        self.largest = max(self.largest, len(data))
        self.sent += data

    async def recv(self, size):
        piece, self.answer = self.answer[:size], self.answer[size:]
        return bytes(piece)


async def exchanged(sock, head, body):
    """Return the reply, and how often another task ran meanwhile."""
    turns = 0

    async def beside():
        nonlocal turns
        while True:
            turns += 1
            await curio.sleep(0)

    other = await curio.spawn(beside)
    reply = await PlatformConnection(sock).exchange(head, body)
    await other.cancel()
    return reply, turns


def test_a_large_body_goes_in_steps_with_turns_for_others():
    sock = ReadySocket(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
    reply, turns = curio.run(exchanged, sock, PUT, BODY)
    assert reply.status == 200 and bytes(sock.sent).endswith(b"\r\n\r\n" + BODY)
    assert sock.largest <= STEP and turns >= SIZE // STEP


def test_a_large_answer_comes_in_steps_with_turns_for_others():
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {SIZE}\r\n\r\n".encode()
    get = h11.Request(method="GET", target="/o", headers=[("host", "h"), ("content-length", "0")])
    reply, turns = curio.run(exchanged, ReadySocket(head + BODY), get, b"")
    assert reply.body == BODY and turns >= SIZE // STEP
