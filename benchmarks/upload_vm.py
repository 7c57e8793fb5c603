"""An entry VM of the upload benchmark: the project's HTTP server, store client and uploads alone.

`stream` forwards each request to the upstream as it comes; `spool` stores it, answers, and
delivers it. `GET /dump` returns the state of the uploads' parts.
"""

import gc
import sys
from types import SimpleNamespace

import curio
import msgspec

from sequoiabridge.callers.limits import CallerLimits
from sequoiabridge.callers.server import CallerServer, Handler
from sequoiabridge.pipeline.exchange import Answer, BytesBody, Exchange, Request
from sequoiabridge.pipeline.uploads import UploadHandler, delivery_request, delivery_result
from sequoiabridge.store.client import StoreClient
from sequoiabridge.store.http import HttpObjects, HttpTables
from sequoiabridge.store.upload_delivery import Deliveries, Sent
from sequoiabridge.store.uploads import Uploads
from sequoiabridge.timers import SystemClock, Timers
from sequoiabridge.upstreams.connections import ConnectorLimits, HttpConnector

from .hop_relay import CONNECT_TIMEOUT, SHARE, Forward

FLEET_WRITES = 300.0
FLEET_READS = 2000.0
MAX_BODY = 1 << 40
DELIVER_EVERY = 1.0
SERVICE = SimpleNamespace(name="lataus")
RULE = SimpleNamespace(max_body=0)


class Spooling(Handler):
    """Stores uploads and delivers them to one upstream."""

    def __init__(self, uploads: Uploads, connector: HttpConnector, upstream: str):
        self.connector = connector
        self.upstream = upstream
        self.uploads = uploads
        self.deliveries = Deliveries(uploads, self.send, uploads.clock)
        self.spool = UploadHandler(uploads)

    async def answer(self, request: Request) -> Answer:
        if request.method == b"GET":
            state = {"uploads": self.uploads.dump(), "deliveries": self.deliveries.dump()}
            body = msgspec.json.encode(state)
            return Answer(200, [], len(body), BytesBody(body))
        exchange = Exchange("bench", request, self.uploads.clock.now())
        exchange.service, exchange.rule, exchange.caller = SERVICE, RULE, "bench"
        return await self.spool.handle(exchange)

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        pass

    async def send(self, manifest, body) -> Sent:
        request = delivery_request(manifest, body)
        request.headers.append((b"host", self.upstream.encode()))
        connection = await self.connector.acquire(
            self.upstream, fresh=True, timeout=CONNECT_TIMEOUT
        )
        try:
            await connection.send(request)
            return delivery_result(manifest, await connection.read_head())
        finally:
            await connection.close()
            await self.connector.release(connection)

    async def step(self) -> None:
        await self.deliveries.step(self.uploads.clock.wall())


async def serve(way: str, upstream: str, platform: str) -> None:
    """Listen on a free port of the loopback, print the address, serve until killed."""
    clock = SystemClock()
    timers = Timers(clock)
    connector = HttpConnector(clock, ConnectorLimits())
    connector.set_share(upstream, SHARE)
    handler: Handler = Forward(connector, upstream)
    if way == "spool":
        tables, objects = HttpTables(platform, clock), HttpObjects(platform, clock)
        store = StoreClient(tables, objects, clock, lambda: 1, FLEET_WRITES, FLEET_READS)
        store.subscribe(timers)
        handler = Spooling(Uploads(store, store.objects, clock, "vm-1"), connector, upstream)
        timers.every(DELIVER_EVERY, "deliveries", handler.step)
    await curio.spawn(timers.run(), daemon=True)
    server = CallerServer(handler, CallerLimits(max_body=MAX_BODY), clock, lambda: "bench")
    server.bind("127.0.0.1:0")
    print(server.address, flush=True)
    gc.collect()
    gc.freeze()
    await server.serve()


if __name__ == "__main__":
    curio.run(serve, *sys.argv[1:])
