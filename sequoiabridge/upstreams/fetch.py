"""One small HTTP exchange: a request with a body in memory, its whole answer."""

from __future__ import annotations

from ..pipeline.exchange import BytesBody
from .base import Connector, UpstreamRequest


class Fetched:
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
) -> Fetched:
    """Send one request, and once only, and return its whole answer.

    Args:
        timeout: Seconds for opening a connection; the caller limits the whole.

    Raises:
        UpstreamFailed: There was no whole answer.
    """
    source = BytesBody(body) if body else None
    fields = [(b"host", address.encode()), *headers]
    request = UpstreamRequest(method, target, fields, len(body), source)
    connection = await connector.acquire(address, fresh=False, timeout=timeout)
    try:
        await connection.send(request)
        answer = await connection.read_head()
        pieces = []
        while answer.body is not None and (piece := await answer.body.read()):
            pieces.append(piece)
        return Fetched(answer.status, b"".join(pieces))
    finally:
        await connector.release(connection)
