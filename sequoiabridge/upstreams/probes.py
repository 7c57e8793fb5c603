"""Probes: small requests that ask an upstream for its health and load."""

import curio

from ..exceptions import UpstreamFailed
from ..headers import DRAIN, INCARNATION, LOAD
from ..pipeline.exchange import Answer, RawHeaders
from ..policy.base import LoadReport
from ..timers import Clock
from .base import Connector, UpstreamConnection, UpstreamRequest
from .reports import parse_incarnation, parse_load

DEFAULT_PATH = "/health"
MAX_BODY_BYTES = 4096
"""Size of a probe's body beyond which no more is read."""
HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides its name and value."""
START_LINE_OVERHEAD_BYTES = 17
"""Bytes of a request line besides the path; also used for a status line."""


class ProbeResult:
    """The result of a probe.

    Attributes:
        healthy: Whether an answer with a status below 400 was received in time.
        status: HTTP status of the answer, 0 without an answer.
        load: The load report of the answer, or None.
        drain: Incarnation of the upstream if it reports that it is draining, or None.
        incarnation: Incarnation of the upstream if it reports one, or None.
        latency: Seconds from the start to the answer's head, or to the failure.
        size: Size in bytes of the request and the answer at the level of HTTP.
        failure: Why there was no answer, or None.
    """

    __slots__ = ("healthy", "status", "load", "drain", "incarnation", "latency", "size", "failure")

    def __init__(self, latency: float, size: int, failure: UpstreamFailed | None = None):
        self.healthy = False
        self.status = 0
        self.load: LoadReport | None = None
        self.drain: int | None = None
        self.incarnation: int | None = None
        self.latency = latency
        self.size = size
        self.failure = failure


class Prober:
    """Sends probes without a limit on their rate.

    Attributes:
        invalid_headers: Number of invalid load, drain and incarnation headers.
    """

    def __init__(self, connector: Connector, clock: Clock, path: str = DEFAULT_PATH):
        self.connector = connector
        self.clock = clock
        self.path = path.encode()
        self.invalid_headers = 0

    async def probe(self, address: str, timeout: float) -> ProbeResult:
        """Probe `address` ("IP:port") and return the result, also after a failure.

        Args:
            timeout: Maximum seconds until the answer was read.
        """
        started = self.clock.now()
        headers = [(b"host", address.encode())]
        request = UpstreamRequest(b"GET", self.path, headers)
        size = START_LINE_OVERHEAD_BYTES + len(self.path) + _headers_size(headers)
        connection = None
        try:
            async with curio.timeout_after(timeout):
                connection = await self.connector.acquire(address, fresh=False, timeout=timeout)
                return await self._exchange(connection, request, started, size)
        except curio.TaskTimeout:
            message = f"{address}: No answer to a probe within {timeout:.3f} s."
            failure = UpstreamFailed(message, sent=connection is not None, timed_out=True)
        except UpstreamFailed as error:
            failure = error
        finally:
            if connection is not None:
                await self.connector.release(connection)
        return ProbeResult(self.clock.now() - started, size if failure.sent else 0, failure)

    async def _exchange(
        self, connection: UpstreamConnection, request: UpstreamRequest, started: float, size: int
    ) -> ProbeResult:
        await connection.send(request)
        answer = await connection.read_head()
        probe = ProbeResult(
            self.clock.now() - started,
            size + START_LINE_OVERHEAD_BYTES + _headers_size(answer.headers),
        )
        probe.status = answer.status
        probe.healthy = answer.status < 400
        probe.size += await _discard_body(answer)
        for name, value in answer.headers:
            if name == LOAD:
                probe.load = self._count_invalid(parse_load(value))
            elif name == DRAIN:
                probe.drain = self._count_invalid(parse_incarnation(value))
            elif name == INCARNATION:
                probe.incarnation = self._count_invalid(parse_incarnation(value))
        return probe

    def _count_invalid(self, parsed):
        self.invalid_headers += parsed is None
        return parsed


async def _discard_body(answer: Answer) -> int:
    """Read and discard up to about `MAX_BODY_BYTES`, close the body and return the bytes read."""
    size = 0
    if answer.body is None:
        return size
    while size < MAX_BODY_BYTES and (piece := await answer.body.read()):
        size += len(piece)
    await answer.body.close()
    return size


def _headers_size(headers: RawHeaders) -> int:
    return sum(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in headers)
