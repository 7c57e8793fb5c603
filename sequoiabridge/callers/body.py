"""The body of a caller's request, streamed from its connection."""

import h11

from ..codec import READ_SIZE, body_reader
from ..exceptions import CallerGone
from ..outcome import Outcome
from ..pipeline.exchange import Body
from .refusals import bad_request, body_too_large, caller_stalled, caller_too_slow
from .transport import CONTINUE, SMALL_READ_BYTES, CallerTransport, Phase

MAX_DISCARDED_PIECES = 64
"""Maximum number of buffered pieces that are parsed to find the end of a body nobody reads."""


class CallerBody(Body):
    """Reads a request's body with back pressure: data is received only on a call of `read`.

    The first `read` sends 100 Continue if the request carries Expect: 100-continue.

    Attributes:
        max_body: Maximum size in bytes; a larger body raises `Refusal` 413.
        expects_continue: True while the caller waits for 100 Continue.
        received: Number of bytes returned so far.
        ended: True once the whole body has been read.
    """

    __slots__ = (
        "transport",
        "length",
        "max_body",
        "expects_continue",
        "reader",
        "received",
        "ended",
    )

    def __init__(
        self, transport: CallerTransport, length: int | None, max_body: int, expects_continue: bool
    ):
        self.transport = transport
        self.length = length
        self.expects_continue = expects_continue
        self.reader = body_reader(length)
        self.max_body = max_body
        self.received = 0
        self.ended = False

    @property
    def is_held(self) -> bool:
        """Whether nothing of the body has been read yet."""
        return not self.received and not self.ended

    def limit(self, size: int) -> None:
        self.max_body = size

    def reserve(self, size: int) -> None:
        self.transport.holding.reserve(size)

    def release(self, size: int | None = None) -> None:
        self.transport.holding.release(size)

    def stalled_seconds(self) -> float:
        return self.transport.holding.stalled_seconds()

    def evict(self) -> None:
        self.transport.evict()

    async def read(self) -> bytes:
        """Return the next piece, or b"" at the end of the body.

        Raises:
            CallerGone: The caller disconnected before the end of the body.
            Refusal: The body is too large, too slow or malformed. Its outcome is `NOT_RUN` only
                if no piece has been returned yet.
        """
        if self.ended:
            return b""
        if self.length is not None and self.length > self.max_body:
            raise body_too_large(self.max_body, self._outcome())
        if self.expects_continue:
            self.expects_continue = False
            await self.transport.send(CONTINUE)
        await self.transport.turn.step()
        while (event := self._next_event()) is None:
            await self._receive()
        if type(event) is h11.Data:
            return self._take_piece(event)
        self.ended = True
        return b""

    def discard_buffered(self) -> bool:
        """Discard some buffered pieces; return True if they complete the body."""
        for _ in range(MAX_DISCARDED_PIECES):
            if self.ended:
                return True
            event = self._next_event()
            if event is None:
                return False
            self.ended = type(event) is h11.EndOfMessage
        return self.ended

    def _take_piece(self, event: h11.Data) -> bytes:
        size = len(event.data)
        if self.received + size > self.max_body:
            raise body_too_large(self.max_body, self._outcome())
        self.received += size
        self.ended = self.received == self.length
        return bytes(event.data)

    def _next_event(self) -> h11.Data | h11.EndOfMessage | None:
        try:
            return self.transport.received.read_body_event(self.reader)
        except h11.LocalProtocolError as error:
            refusal = bad_request(f"The request's body is malformed: {error}. Correct it.")
            refusal.outcome = self._outcome()
            raise refusal from error

    async def _receive(self) -> None:
        transport = self.transport
        max_bytes = SMALL_READ_BYTES
        if self.length is not None:
            max_bytes = max(max_bytes, min(READ_SIZE, self.length - self.received))
        if await transport.receive(Phase.BODY, transport.limits.body_timeout, max_bytes):
            return
        if transport.evicted:
            raise caller_stalled(self._outcome())
        if transport.expired:
            raise caller_too_slow("body", self._outcome())
        raise CallerGone("The caller closed the connection before the end of the request's body.")

    def _outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.received else Outcome.NOT_RUN
