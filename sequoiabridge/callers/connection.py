"""One caller's requests, one after the other, and their answers."""

from __future__ import annotations

import socket
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from ..codec import CONNECTION, CONTENT_LENGTH, FRAMING, Fields, Head, serialized
from ..exceptions import CallerGone, Refusal, SequoiaError, UpstreamFailed
from ..headers import DRAIN, LOAD, NOT_RUN
from ..logs import get_log
from ..pipeline.exchange import Answer, BytesBody, Request
from .body import CallerBody
from .framing import request_head
from .refusals import bad_request, internal_error, refusal_answer, too_slow, upstream_failed
from .wire import CallerWire, Phase

if TYPE_CHECKING:
    from .server import CallerServer

log = get_log("callers")

NOT_TO_CALLERS = FRAMING | {LOAD, DRAIN, NOT_RUN}
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
END = h11.EndOfMessage()
CLOSE = (CONNECTION, b"close")


def standalone(answer: Answer) -> bytes:
    """Return the bytes of an answer to a caller whose request is not read; it says close."""
    http = h11.Connection(h11.SERVER)
    headers = [*answer.headers, (CONTENT_LENGTH, b"%d" % answer.length), CLOSE]
    response = h11.Response(status_code=answer.status, headers=headers)
    return http.send(response) + http.send(h11.Data(answer.body.data)) + http.send(END)


class CallerConnection:
    """Serves one caller; `run` is its task."""

    __slots__ = ("server", "wire", "peer")

    def __init__(self, server: CallerServer, sock: socket.socket, peer: str):
        self.server = server
        self.wire = CallerWire(sock, server.limits, server.clock)
        self.peer = peer

    async def run(self) -> None:
        """Serve requests until either side has had enough, then close."""
        try:
            while await self._serve_one():
                pass
        except CallerGone as gone:
            log.debug("A caller left. %s", gone)
        except SequoiaError as error:
            log.warning("A connection was given up. %s", error)
        finally:
            await self.wire.close()

    async def _serve_one(self) -> bool:
        """Serve the next request; return True if another may follow."""
        try:
            event, raw = await self._read_head()
            if event is None:
                return False
            head = request_head(event, raw, self.server.limits.max_head)
        except h11.RemoteProtocolError as error:
            status = 431 if error.error_status_hint == 431 else 400
            message = f"This is not a valid HTTP request: {error}. Correct it."
            return await self._refuse_head(bad_request(message, status))
        except Refusal as refusal:
            return await self._refuse_head(refusal)
        self.server.in_flight += 1
        try:
            return await self._exchange(event, head)
        finally:
            self.server.in_flight -= 1

    async def _read_head(self) -> tuple[h11.Request | None, bytes]:
        """Return the next request and the bytes it was parsed from; None at the caller's end."""
        wire, now = self.wire, self.server.clock.now
        raw = wire.http.trailing_data[0]
        timeout = self.server.limits.idle_timeout
        head_end = None
        while True:
            if raw:
                event = wire.http.next_event()
                if event is not h11.NEED_DATA:
                    return event, raw
                head_end = head_end or now() + self.server.limits.head_timeout
                timeout = head_end - now()
            data = await wire.receive(Phase.HEAD if raw else Phase.IDLE, timeout)
            if not data:
                if raw and wire.expired:
                    raise too_slow("head")
                return None, raw
            wire.http.receive_data(data)
            raw = raw + data if raw else data

    async def _exchange(self, event: h11.Request, head: Head) -> bool:
        """Have the handler answer a request; return True if another may follow."""
        request = self._request(event, head)
        body = request.body  # The handler may put another in its place.
        handler = self.server.handler
        self.wire.handling()
        try:
            answer = await handler.answer(request)
        except CallerGone:
            raise
        except Exception as error:
            await self._send(self._refused(error), request.method, body)
            return await self._next_cycle()
        clean = False
        try:
            await self._send(answer, request.method, body)
            clean = True
        except CallerGone:
            raise
        except SequoiaError as error:
            log.warning("An answer was cut off. %s", error)
            self._cut_off(answer)
        finally:
            if answer.body is not None:
                await answer.body.close()
            await handler.finished(request, answer, clean)
        return clean and await self._next_cycle()

    def _request(self, event: h11.Request, head: Head) -> Request:
        length = None if head.chunked else head.length or 0
        body = None
        if length == 0:
            self.wire.http.next_event()
        else:
            body = CallerBody(self.wire, length, self.server.limits.max_body)
        return Request(event.method, event.target, head.pairs, length, body, self.peer)

    def _refused(self, error: Exception) -> Answer:
        """Return the answer that stands for an error of the handler."""
        refusal = error
        if isinstance(error, UpstreamFailed):
            refusal = upstream_failed(str(error))
        elif not isinstance(error, Refusal):
            log.error("The handler failed.", exc_info=error)
            refusal = internal_error()
        return refusal_answer(refusal, refusal.request_id or self.server.ids())

    async def _refuse_head(self, refusal: Refusal) -> bool:
        """Answer a request that could not be read, and end the connection."""
        answer = refusal_answer(refusal, self.server.ids())
        await self._send(answer, b"", None, last=True)
        return await self._next_cycle()

    async def _send(
        self, answer: Answer, method: bytes, body: CallerBody | None, last: bool = False
    ) -> None:
        """Send an answer, in one piece if its body is in memory.

        Raises:
            CallerGone: The caller left.
            SequoiaError: The answer could not be completed.
        """
        http, wire = self.wire.http, self.wire
        unread = body is not None and not body.ended and not body.skip_buffered()
        fields = self._fields(answer, last or unread or self.server.stopping)
        status = answer.status
        reason = REASON_PHRASES.get(status, b"")
        response = h11.Response(status_code=status, headers=fields, reason=reason)
        try:
            parts = http.send_with_data_passthrough(response)
            data = serialized(parts)
            source = answer.body
            if source is None or method == b"HEAD" or status in (204, 304):
                await wire.send(data + http.send(END))
            elif type(source) is BytesBody:
                content = http.send(h11.Data(await source.read()))
                await wire.send(b"".join((data, content, http.send(END))))
            else:
                await wire.send(data)
                await self._stream(answer)
        except h11.LocalProtocolError as error:
            message = f"The answer does not fit its framing: {error}."
            raise UpstreamFailed(message, sent=True) from error

    async def _stream(self, answer: Answer) -> None:
        http, wire = self.wire.http, self.wire
        while piece := await answer.body.read():
            parts = http.send_with_data_passthrough(h11.Data(piece))
            await wire.send(parts[0] if len(parts) == 1 else b"".join(parts))
        if end := http.send(END):
            await wire.send(end)

    @staticmethod
    def _fields(answer: Answer, last: bool) -> Fields:
        pairs = [pair for pair in answer.headers if pair[0] not in NOT_TO_CALLERS]
        if answer.length is not None and answer.status != 204:
            pairs.append((CONTENT_LENGTH, b"%d" % answer.length))
        if last:
            pairs.append(CLOSE)
        return Fields(pairs)

    def _cut_off(self, answer: Answer) -> None:
        """Let the caller see that the answer is not whole.

        A missing last chunk or missing bytes show it; a body that ends with the connection
        (HTTP/1.0) shows it only by a reset.
        """
        if answer.length is None and self.wire.http.their_http_version != b"1.1":
            self.wire.abort_on_close()

    async def _next_cycle(self) -> bool:
        """Get ready for the next request; False if there can be none."""
        http = self.wire.http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            return True
        await self.wire.drain()
        return False
