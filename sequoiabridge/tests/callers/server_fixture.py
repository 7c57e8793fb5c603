"""Runs a caller server with a scripted handler, for tests that exchange raw bytes with it."""

from itertools import count

import curio

from ...callers.limits import CallerLimits
from ...callers.server import CallerServer, Handler
from ...pipeline.exchange import Answer, BytesBody
from ...selector import LazySelector
from ...timers import ManualClock

GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def ok(body: bytes) -> Answer:
    """Return an answer with status 200."""
    return Answer(200, [], len(body), BytesBody(body))


class ScriptedHandler(Handler):
    """Answers with a coroutine function; records requests and the `clean` flags of `finished`."""

    def __init__(self, script):
        self.script = script
        self.clean_ends = []
        self.cancelled = 0
        self.requests = []

    async def answer(self, request):
        self.requests.append(request)
        try:
            return await self.script(request)
        except curio.CancelledError:
            self.cancelled += 1
            raise

    async def finished(self, request, answer, clean):
        self.clean_ends.append(clean)


def serve(script, test, **limits):
    """Run `test(server, handler, connect)` against a server, with a timeout."""

    async def main():
        handler = ScriptedHandler(script)
        ids = count()
        clock = ManualClock()
        server = CallerServer(handler, CallerLimits(**limits), clock, lambda: f"id-{next(ids)}")
        server.bind("127.0.0.1:0")
        host, port = server.address.split(":")
        task = await curio.spawn(server.serve)

        async def connect(data=b""):
            sock = await curio.open_connection(host, int(port))
            await sock.sendall(data)
            return sock

        try:
            await curio.timeout_after(10, test, server, handler, connect)
        finally:
            await task.cancel()

    curio.run(main, selector=LazySelector())


async def read_all(sock) -> bytes:
    """Return all bytes until the peer closes the connection."""
    data = b""
    while piece := await sock.recv(65536):
        data += piece
    return data


async def read_until(sock, end: bytes) -> bytes:
    """Return the bytes up to and including `end`."""
    data = b""
    while not data.endswith(end):
        piece = await sock.recv(1)
        assert piece, f"closed after {data!r}"
        data += piece
    return data


async def wait_until(condition) -> None:
    """Poll until `condition()` is true."""
    while not condition():
        await curio.sleep(0.002)
