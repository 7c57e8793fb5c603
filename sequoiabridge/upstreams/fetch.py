"""One small HTTP exchange: a request with a body in memory, its whole answer."""

from __future__ import annotations

import curio

from ..pipeline.exchange import Body
from .base import Connector, UpstreamRequest

STEP_BYTES = 256 * 1024
"""Bytes of a body that are sent or read in one go; other tasks run in between."""


class StepwiseBody(Body):
    """A body in memory that is given out in steps."""

    __slots__ = ("rest",)

    def __init__(self, data: bytes):
        self.rest = memoryview(data)

    async def read(self) -> bytes:
        """Return the next step, after a turn for others."""
        # Not before the end: an answer that came meanwhile would look like one to half a body.
        if self.rest:
            await curio.sleep(0)
        piece, self.rest = self.rest[:STEP_BYTES], self.rest[STEP_BYTES:]
        return bytes(piece)


class FetchedAnswer:
    """A whole answer."""

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
) -> FetchedAnswer:
    """Send one request, and once only, and return its whole answer.

    Args:
        timeout: Seconds for opening a connection; the caller limits the whole.

    Raises:
        UpstreamFailed: There was no whole answer.
    """
    source = StepwiseBody(body) if body else None
    fields = [(b"host", address.encode()), *headers]
    request = UpstreamRequest(method, target, fields, len(body), source)
    connection = await connector.acquire(address, fresh=False, timeout=timeout)
    try:
        await connection.send(request)
        answer = await connection.read_head()
        pieces, since_pause = [], 0
        while answer.body is not None and (piece := await answer.body.read()):
            pieces.append(piece)
            since_pause += len(piece)
            if since_pause >= STEP_BYTES:
                since_pause = 0
                await curio.sleep(0)
        return FetchedAnswer(answer.status, b"".join(pieces))
    finally:
        await connector.release(connection)
