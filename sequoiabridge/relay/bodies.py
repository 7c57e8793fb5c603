"""Buffers bodies; those of requests so that they can be resent, whatever their callers do."""

from __future__ import annotations

import curio

from ..callers.refusals import caller_too_slow
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Body, Request

MAX_BUFFERED_BODY = 1024 * 1024
"""Maximum number of bytes of a request body that are buffered. A longer body is streamed and can be
sent only once."""


class PrefixedBody(Body):
    """A body whose first bytes have been read and are kept in memory."""

    __slots__ = ("prefix", "rest")

    def __init__(self, prefix: bytes, rest: Body):
        self.prefix = prefix
        self.rest = rest

    async def read(self) -> bytes:
        """Return the prefix first, then chunks of the rest."""
        if self.prefix:
            prefix, self.prefix = self.prefix, b""
            return prefix
        return await self.rest.read()

    def limit(self, size: int) -> None:
        """Limit the rest to `size` bytes."""
        self.rest.limit(size)

    async def close(self) -> None:
        """Close the rest."""
        await self.rest.close()


async def buffer_body(request: Request, max_body: int, timeout: float) -> None:
    """Replace a request's body by a buffered one; a long body is buffered in part.

    Raises:
        CallerGone: The caller disconnected before the end of the body.
        Refusal: The body is larger than `max_body` bytes or took longer than `timeout` seconds.
    """
    body = request.body
    if body is None:
        return
    body.limit(max_body)
    chunks, size = [], 0
    try:
        async with curio.timeout_after(max(0.0, timeout)):
            while size <= MAX_BUFFERED_BODY and (chunk := await body.read()):
                chunks.append(chunk)
                size += len(chunk)
    except curio.TaskTimeout:
        raise caller_too_slow("body") from None
    prefix = b"".join(chunks)
    if size > MAX_BUFFERED_BODY:
        request.body = PrefixedBody(prefix, body)
        return
    request.body = ReplayableBody(prefix)
    request.length = size
