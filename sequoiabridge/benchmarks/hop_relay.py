"""The hop under test: the project's server and connector with a handler that only forwards."""

import gc
import sys
from itertools import count

import curio

from ..callers.limits import CallerLimits
from ..callers.server import CallerServer, Handler
from ..headers import REQUEST_ID
from ..pipeline.exchange import Answer, Request
from ..selector import LazySelector
from ..timers import SystemClock
from ..upstreams.base import UpstreamRequest
from ..upstreams.connections import ConnectorLimits, HttpConnector

SHARE = 260
CONNECT_TIMEOUT = 1.0


class Forward(Handler):
    """Sends each request to one upstream."""

    def __init__(self, connector: HttpConnector, upstream: str):
        self.connector = connector
        self.upstream = upstream
        self.numbers = count()

    def new_id(self) -> str:
        """Return a new request id."""
        return f"hop-{next(self.numbers)}"

    async def answer(self, request: Request) -> Answer:
        request_id = (REQUEST_ID, self.new_id().encode())
        headers = [*request.headers, request_id]
        outgoing = UpstreamRequest(
            request.method, request.target, headers, request.length, request.body
        )
        connection = await self.connector.acquire(
            self.upstream, fresh=False, timeout=CONNECT_TIMEOUT
        )
        answered = False
        try:
            await connection.send(outgoing)
            answer = await connection.read_head()
            answered = True
        finally:
            if not answered:
                await self.connector.release(connection)
        answer.headers.append(request_id)
        return answer

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        pass


async def serve(upstream: str) -> None:
    """Listen on a free port of the loopback, print the address, relay until killed."""
    clock = SystemClock()
    connector = HttpConnector(clock, ConnectorLimits())
    connector.set_share(upstream, SHARE)
    handler = Forward(connector, upstream)
    server = CallerServer(handler, CallerLimits(), clock, handler.new_id)
    server.bind("127.0.0.1:0")
    print(server.address, flush=True)
    gc.collect()
    gc.freeze()
    await server.serve()


if __name__ == "__main__":
    curio.run(serve, sys.argv[1], selector=LazySelector())
