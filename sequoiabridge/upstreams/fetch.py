"""Sends one HTTP request and returns its complete answer, both held in memory."""

from __future__ import annotations

import curio

from ..exceptions import UpstreamFailed
from ..pipeline.exchange import Body
from .base import Connector, UpstreamRequest

STEP_BYTES = 256 * 1024
"""Maximum number of bytes that are sent or read before other tasks get to run."""


MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size in bytes of an answer's body; the platform's largest objects have half of that."""


class StepwiseBody(Body):
    """A body in memory that is sent in steps, so that other tasks run in between."""

    __slots__ = ("rest",)

    def __init__(self, data: bytes):
        self.rest = memoryview(data)

    async def read(self) -> bytes:
        """Return the next step after letting other tasks run."""
        # No pause at the end: an answer received during it would count as sent before the body.
        if self.rest:
            await curio.sleep(0)
        piece, self.rest = self.rest[:STEP_BYTES], self.rest[STEP_BYTES:]
        return bytes(piece)


class FetchedAnswer:
    """A complete answer."""

    __slots__ = ("status", "body")

    def __init__(self, status: int, body: bytes):
        self.status = status
        self.body = body


async def fetch(
    connector: Connector,
    address: str,
    method: bytes,
    target: bytes,
    timeout: float,
    body: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
    max_body: int = MAX_ANSWER_BYTES,
    fresh: bool = False,
) -> FetchedAnswer:
    """Send one request without retries and return its complete answer.

    Args:
        timeout: Maximum seconds to open a connection; the rest has no timeout here.
        max_body: Maximum size of the answer's body in bytes.
        fresh: Use a new connection.

    Raises:
        UpstreamFailed: No complete answer was received, or it is larger than `max_body`.
    """
    source = StepwiseBody(body) if body else None
    fields = [(b"host", address.encode()), *headers]
    request = UpstreamRequest(method, target, fields, len(body), source)
    connection = await connector.acquire(address, fresh=fresh, timeout=timeout)
    try:
        await connection.send(request)
        answer = await connection.read_head()
        received, since_pause = bytearray(), 0
        while answer.body is not None and (piece := await answer.body.read()):
            received += piece
            if len(received) > max_body:
                message = f"{address}: The answer has more than {max_body} bytes; it is not read."
                raise UpstreamFailed(message, sent=True)
            since_pause += len(piece)
            if since_pause >= STEP_BYTES:
                since_pause = 0
                await curio.sleep(0)
        return FetchedAnswer(answer.status, bytes(received))
    finally:
        await connector.release(connection)
