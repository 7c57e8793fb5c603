"""Names requests, so that all VMs recognize one that comes again."""

from __future__ import annotations

from hashlib import blake2b

from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Request
from .bodies import PartlyBufferedBody

HOST = b"host"

DIGEST_BYTES = 12


def request_fingerprint(request: Request) -> str:
    """Return a digest that is equal for identical requests, whatever address they come from.

    Of a body that is streamed, only the length and the first part are known.
    """
    parts = (
        request.method,
        request.header(HOST) or b"",
        request.target,
        b"%d" % (request.length or 0),
        _known_body(request),
    )
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def _known_body(request: Request) -> bytes:
    if isinstance(request.body, ReplayableBody):
        return request.body.whole
    if isinstance(request.body, PartlyBufferedBody):
        return request.body.prefix
    return b""
