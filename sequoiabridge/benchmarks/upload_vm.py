"""An entry VM of the upload benchmark: the project's HTTP server, store client and uploads alone.

`stream` forwards each request to the upstream as it comes; `spool` stores it, answers, and
delivers it. `GET /dump` returns the state of the uploads' parts.
"""

import gc
import sys
import time
from types import SimpleNamespace

import curio
import msgspec

from ..callers.limits import CallerLimits
from ..callers.server import CallerServer, Handler
from ..pipeline.exchange import Answer, BytesBody, Exchange, Request
from ..pipeline.uploads import UploadHandler, delivery_request, delivery_result
from ..platform.services import PlatformObjects, PlatformTables
from ..store.client import StoreClient
from ..store.upload_delivery import DeliveryResult, UploadDeliverer
from ..store.uploads import Uploads
from ..timers import SystemClock, Timers
from ..upstreams.connections import ConnectorLimits, HttpConnector
from .hop_relay import CONNECT_TIMEOUT, SHARE, Forward

FLEET_WRITES = 300.0
FLEET_READS = 2000.0
MAX_BODY = 1 << 40
DELIVER_EVERY = 1.0
LAG_EVERY = 0.002
SERVICE = SimpleNamespace(name="lataus")
RULE = SimpleNamespace(max_body=0)


class Lag:
    """How late a task runs that wants to run each few milliseconds: what other calls would feel."""

    def __init__(self):
        self.times: list[float] = []

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            began = time.perf_counter()
            await curio.sleep(LAG_EVERY)
            self.times.append(time.perf_counter() - began - LAG_EVERY)

    def dump(self) -> dict:
        """Return the 99th percentile and the longest since the start, in ms."""
        times = sorted(self.times) or [0.0]
        return {"p99": times[int(len(times) * 0.99)] * 1e3, "max": times[-1] * 1e3}


class Measured(Handler):
    """Answers `GET /dump` by itself and passes uploads on."""

    def __init__(self, inner: Handler, lag: Lag):
        self.inner = inner
        self.lag = lag

    async def answer(self, request: Request) -> Answer:
        if request.method != b"GET":
            return await self.inner.answer(request)
        state = self.inner.dump() if isinstance(self.inner, Spooling) else {}
        body = msgspec.json.encode(state | {"lag": self.lag.dump()})
        return Answer(200, [], len(body), BytesBody(body))

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        pass


class Spooling(Handler):
    """Stores uploads and delivers them to one upstream."""

    def __init__(self, uploads: Uploads, connector: HttpConnector, upstream: str):
        self.connector = connector
        self.upstream = upstream
        self.uploads = uploads
        self.deliveries = UploadDeliverer(uploads, self.send, uploads.clock)
        self.spool = UploadHandler(uploads)

    def dump(self) -> dict:
        """Describe the uploads' parts."""
        return {"uploads": self.uploads.dump(), "deliveries": self.deliveries.dump()}

    async def answer(self, request: Request) -> Answer:
        exchange = Exchange("bench", request, self.uploads.clock.now())
        exchange.service, exchange.rule, exchange.caller = SERVICE, RULE, "bench"
        return await self.spool.handle(exchange)

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        pass

    async def send(self, manifest, body) -> DeliveryResult:
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


async def serve(way: str, upstream: str, platform: str, chunk: str, commit_every: str) -> None:
    """Listen on a free port of the loopback, print the address, serve until killed."""
    clock = SystemClock()
    timers = Timers(clock)
    connector = HttpConnector(clock, ConnectorLimits())
    connector.set_share(upstream, SHARE)
    handler: Handler = Forward(connector, upstream)
    if way == "spool":
        tables, objects = PlatformTables(platform, clock), PlatformObjects(platform, clock)
        store = StoreClient(tables, objects, clock, lambda: 1, FLEET_WRITES, FLEET_READS)
        store.subscribe(timers)
        options = {"chunk_size": int(chunk), "chunks_per_commit": int(commit_every)}
        uploads = Uploads(store, store.objects, clock, "vm-1", **options)
        handler = Spooling(uploads, connector, upstream)
        timers.every(DELIVER_EVERY, "deliveries", handler.step)
    await curio.spawn(timers.run(), daemon=True)
    lag = Lag()
    await curio.spawn(lag.run(), daemon=True)
    server = CallerServer(
        Measured(handler, lag), CallerLimits(max_body=MAX_BODY), clock, lambda: "bench"
    )
    server.bind("127.0.0.1:0")
    print(server.address, flush=True)
    gc.collect()
    gc.freeze()
    await server.serve()


if __name__ == "__main__":
    curio.run(serve, *sys.argv[1:])
