"""Filter: takes small request bodies into memory, so that no slow caller holds an upstream."""

from hashlib import sha256

from .base import Filter
from .exchange import BytesBody, Exchange

MAX_BUFFERED_BYTES = 64 * 1024
"""Bytes up to which a body is kept in memory: it can be sent again, and has a digest."""


class ReplayableBody(BytesBody):
    """A whole body in memory that may be read again after `rewind`."""

    __slots__ = ()

    def rewind(self) -> None:
        """Start again from the first byte."""
        self.data = self.whole

    def digest(self) -> str:
        """Return the SHA-256 of the body in hexadecimal."""
        return sha256(self.whole).hexdigest()


class Buffering(Filter):
    """Reads a body of known, small size before anything is decided about the call."""

    __slots__ = ()

    name = "buffering"

    async def enter(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.body is None or request.length is None or request.length > MAX_BUFFERED_BYTES:
            return
        pieces = []
        while piece := await request.body.read():
            pieces.append(piece)
        request.body = ReplayableBody(b"".join(pieces))
