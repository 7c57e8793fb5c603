"""Names requests, so that all VMs recognize one that comes again."""

from __future__ import annotations

from hashlib import blake2b

from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Request

HOST = b"host"

DIGEST_BYTES = 12


def request_fingerprint(request: Request) -> str:
    """Return a digest of a request and its caller's address, equal for identical requests."""
    caller = request.peer.rpartition(":")[0].encode()
    body = request.body.whole if isinstance(request.body, ReplayableBody) else b""
    parts = (request.method, request.header(HOST) or b"", request.target, caller, body)
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()
