"""Filter that reads small request bodies into memory, so that slow callers occupy no upstream."""

from hashlib import sha256

from .base import Filter
from .exchange import BytesBody, Exchange

MAX_BUFFERED_BYTES = 64 * 1024
"""Maximum size of a body that is buffered in memory; only buffered bodies can be retried."""


class ReplayableBody(BytesBody):
    """A buffered body that any number of attempts can send, also at the same time."""

    __slots__ = ()

    def open(self) -> BytesBody:
        """Return a reader of the whole body."""
        return BytesBody(self.whole)

    @property
    def is_held(self) -> bool:
        """Whether it can be sent whole again; it always can."""
        return True

    def digest(self) -> str:
        """Return the SHA-256 of the body in hexadecimal."""
        return sha256(self.whole).hexdigest()


class Buffering(Filter):
    """Buffers a body of known size up to `MAX_BUFFERED_BYTES`."""

    __slots__ = ()

    name = "buffering"

    async def enter(self, exchange: Exchange) -> None:
        request = exchange.request
        if request.body is None or request.length is None or request.length > MAX_BUFFERED_BYTES:
            return
        request.body.reserve(request.length)
        buffered = bytearray()
        while piece := await request.body.read():
            buffered += piece
        request.body = ReplayableBody(bytes(buffered))
