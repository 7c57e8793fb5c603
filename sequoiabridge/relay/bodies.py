"""Takes the bodies of calls into memory, so that they can be sent again and no slow caller holds an
upstream."""

from __future__ import annotations

import curio

from ..callers.refusals import too_slow
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Request
from .attempt import PrefixedBody

MAX_BUFFERED_BODY = 1024 * 1024
"""Bytes of a body that are taken into memory; the users' uploads have 60 KB on average and 360 KB
at most. A longer one is passed on piece by piece and can be sent once."""


async def buffer_body(request: Request, max_body: int, timeout: float) -> None:
    """Replace a request's body by one in memory, or by one of which the beginning is in memory.

    Raises:
        CallerGone: The caller left before the end.
        Refusal: The body is too large, or did not come within `timeout` seconds.
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
        raise too_slow("body") from None
    prefix = b"".join(chunks)
    if size > MAX_BUFFERED_BODY:
        request.body = PrefixedBody(prefix, body)
        return
    request.body = ReplayableBody(prefix)
    request.length = size
