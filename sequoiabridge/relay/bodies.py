"""Buffers request bodies, so that they can be resent and a slow caller occupies no upstream."""

from __future__ import annotations

import curio

from ..callers.refusals import caller_too_slow
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Request
from .attempt import PrefixedBody

MAX_BUFFERED_BODY = 1024 * 1024
"""Maximum number of bytes of a request body that are buffered. A longer body is streamed and can be
sent only once."""


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
