"""The body of a caller's request, read from its connection piece by piece."""

import h11

from ..exceptions import CallerGone
from ..outcome import Outcome
from ..pipeline.exchange import Body
from .refusals import bad_request, body_too_large, too_slow
from .wire import CallerWire, Phase


class CallerBody(Body):
    """Reads a request's body with back pressure: no piece is received before it is asked for.

    The first read tells a caller that waits for it to go on (Expect: 100-continue).

    Attributes:
        max_body: Most bytes to take, set by the pipeline; `Refusal` 413 beyond it.
        received: Bytes handed out so far.
        ended: True after the clean end.
    """

    __slots__ = ("wire", "length", "max_body", "received", "ended")

    def __init__(self, wire: CallerWire, length: int | None, max_body: int):
        self.wire = wire
        self.length = length
        self.max_body = max_body
        self.received = 0
        self.ended = False

    def limit(self, size: int) -> None:
        self.max_body = size

    async def read(self) -> bytes:
        """Return the next piece, b"" at the clean end.

        Raises:
            CallerGone: The caller left before the end.
            Refusal: The body is too large, too slow or malformed. Its outcome is `NOT_RUN` only
                if no piece has been handed out.
        """
        if self.ended:
            return b""
        if self.length is not None and self.length > self.max_body:
            raise body_too_large(self.max_body, self._outcome())
        if self.received == 0:
            await self.wire.ask_for_body()
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if type(event) is h11.Data:
                return self._piece(event)
            self.ended = True
            return b""

    def skip_buffered(self) -> bool:
        """Drop what has been received; return True if that was all of the body."""
        while not self.ended:
            event = self._next_event()
            if event is h11.NEED_DATA:
                return False
            self.ended = type(event) is h11.EndOfMessage
        return True

    def _piece(self, event: h11.Data) -> bytes:
        size = len(event.data)
        if self.received + size > self.max_body:
            raise body_too_large(self.max_body, self._outcome())
        self.received += size
        if self.received == self.length:
            self._next_event()
            self.ended = True
        return bytes(event.data)

    def _next_event(self) -> h11.Event | type:
        try:
            return self.wire.http.next_event()
        except h11.RemoteProtocolError as error:
            if self.wire.http.trailing_data[1]:
                raise CallerGone("It closed its connection within the request's body.") from error
            refusal = bad_request(f"The request's body is malformed: {error}. Correct it.")
            refusal.outcome = self._outcome()
            raise refusal from error

    async def _receive(self) -> None:
        wire = self.wire
        data = await wire.receive(Phase.BODY, wire.limits.body_timeout)
        if not data and wire.expired:
            raise too_slow("body", self._outcome())
        wire.http.receive_data(data)

    def _outcome(self) -> Outcome:
        return Outcome.UNKNOWN if self.received else Outcome.NOT_RUN
