"""Serves the requests of one caller's connection, one after the other."""

from __future__ import annotations

import socket
from http import HTTPStatus
from typing import TYPE_CHECKING

import curio
import h11

from ..codec import END_OF_MESSAGE, body_writer, encode_body_event, encode_response_head
from ..exceptions import CallerGone, Refusal, SequoiaError, UpstreamFailed
from ..header_fields import (
    BODILESS_STATUSES,
    CONNECTION,
    CONTENT_LENGTH,
    HTTP_11,
    PER_CONNECTION_FIELDS,
    TRANSFER_ENCODING,
    MessageHead,
    ValidatedHeaders,
)
from ..headers import DRAIN, LOAD, NOT_RUN
from ..logs import get_log
from ..pipeline.exchange import Answer, Body, BytesBody, Request
from ..timers import Clock
from .body import CallerBody
from .framing import validate_head
from .refusals import bad_request, caller_too_slow, internal_error, upstream_failed
from .transport import NEVER, CallerTransport, Phase

if TYPE_CHECKING:
    from .server import CallerServer

log = get_log("callers")

REMOVED_FIELDS = PER_CONNECTION_FIELDS | {LOAD, DRAIN, NOT_RUN}
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
CLOSE = (CONNECTION, b"close")
CHUNKED = (TRANSFER_ENCODING, b"chunked")


MAX_JOINED_BYTES = 64 * 1024
"""Maximum size of an answer's body that is copied to be sent together with its head."""

MIN_SEND_SECONDS = 0.2
"""Minimum seconds that a caller has to receive an answer, also one that came at the deadline."""


def seconds_until(time: float, clock: Clock) -> float | None:
    """Return the seconds until a time, None if it never comes."""
    return None if time == NEVER else max(0.0, time - clock.now())


def encode_unread_answer(answer: Answer) -> bytes:
    """Return an answer's bytes, with Connection: close, for a caller whose input is not read."""
    fields = ValidatedHeaders([*answer.headers, (CONTENT_LENGTH, b"%d" % answer.length), CLOSE])
    response = h11.Response(status_code=answer.status, headers=fields)
    return encode_response_head(response) + answer.body.data


class CallerConnection:
    """Serves one caller's connection; `run` is the body of its task.

    Attributes:
        keeps_alive: False if the connection is closed after the current answer.
        version: HTTP version of the current request, for example b"1.1".
    """

    __slots__ = ("server", "transport", "peer", "keeps_alive", "version")

    def __init__(self, server: CallerServer, sock: socket.socket, peer: str):
        self.server = server
        self.transport = CallerTransport(sock, server.limits, server.clock, server.memory)
        self.peer = peer
        self.keeps_alive = True
        self.version = HTTP_11

    async def run(self) -> None:
        """Serve requests until either side ends the connection, then close the socket."""
        try:
            while await self._serve_one():
                pass
        except CallerGone as gone:
            log.debug("Caller disconnected. %s", gone)
        except SequoiaError as error:
            log.warning("Closing a caller's connection after an error. %s", error)
        finally:
            await self.transport.close()

    async def _serve_one(self) -> bool:
        """Serve the next request; return True if another may follow."""
        try:
            event, raw = await self._read_head()
            if event is None:
                return False
            head = validate_head(event, raw)
        except h11.LocalProtocolError as error:
            message = f"This is not a valid HTTP request: {error}. Correct it."
            return await self._refuse_head(bad_request(message, error.error_status_hint))
        except Refusal as refusal:
            return await self._refuse_head(refusal)
        self.server.in_flight += 1
        self.transport.holding.restart()
        try:
            return await self._exchange(event, head)
        finally:
            self.server.in_flight -= 1
            self.transport.holding.release()
            self.transport.holding.restart()

    async def _read_head(self) -> tuple[h11.Request | None, bytes]:
        """Return the next request and its raw head; None if the caller closed or idled."""
        transport, limits, now = self.transport, self.server.limits, self.server.clock.now
        await transport.turn.step()
        timeout, head_end = limits.idle_timeout, None
        while True:
            if transport.received:
                event, raw = transport.received.read_request()
                if max(len(raw), 0 if event else len(transport.received)) > limits.max_head:
                    message = f"The head has more than {limits.max_head} bytes. Send less."
                    raise bad_request(message, 431)
                if event is not None:
                    return event, raw
                head_end = head_end or now() + limits.head_timeout
                timeout = head_end - now()
            phase = Phase.HEAD if transport.received else Phase.IDLE
            if not await transport.receive(phase, timeout):
                if transport.received and transport.expired:
                    raise caller_too_slow("head")
                return None, b""

    async def _exchange(self, event: h11.Request, head: MessageHead) -> bool:
        """Answer a request through the handler; return True if another may follow."""
        request = self._build_request(event, head)
        body = request.body  # The handler may replace request.body.
        self.keeps_alive = head.keeps_alive
        self.version = event.http_version
        self.transport.may_send_interim = self.version == HTTP_11
        handler = self.server.handler
        self.transport.enter_handler_phase()
        try:
            answer = await handler.answer(request)
        except CallerGone:
            raise
        except Exception as error:
            await self._send(self._answer_to_error(error), request.method, body)
            return await self._prepare_next(body)
        clean = False
        try:
            await self._send(answer, request.method, body)
            clean = True
        except CallerGone:
            raise
        except SequoiaError as error:
            log.warning("An answer was truncated. %s", error)
        finally:
            if not clean:
                self._mark_truncated(answer)
            if answer.body is not None:
                await answer.body.close()
            await handler.finished(request, answer, clean)
        return clean and await self._prepare_next(body)

    def _build_request(self, event: h11.Request, head: MessageHead) -> Request:
        length = None if head.chunked else head.length or 0
        body = None
        if length != 0:
            limit = self.server.limits.max_body
            body = CallerBody(self.transport, length, limit, head.expects_continue)
        return Request(event.method, event.target, head.pairs, length, body, self.peer)

    def _answer_to_error(self, error: Exception) -> Answer:
        """Return the answer for an exception that the handler raised."""
        refusal = error
        if isinstance(error, UpstreamFailed):
            refusal = upstream_failed(str(error))
        elif not isinstance(error, Refusal):
            log.error("The handler raised an unexpected exception.", exc_info=error)
            refusal = internal_error()
        return self.server.write_refusal(
            refusal, refusal.request_id or self.server.new_request_id()
        )

    async def _refuse_head(self, refusal: Refusal) -> bool:
        """Refuse a request with an invalid or incomplete head, and end the connection."""
        answer = self.server.write_refusal(refusal, self.server.new_request_id())
        self.keeps_alive = False
        await self._send(answer, b"", None)
        return await self._prepare_next()

    async def _send(self, answer: Answer, method: bytes, body: CallerBody | None) -> None:
        """Send an answer, in a single write if its body is short.

        Raises:
            CallerGone: The caller disconnected.
            SequoiaError: The answer's body failed or does not match its length.
        """
        transport, source, status = self.transport, answer.body, answer.status
        if isinstance(source, BytesBody):
            size = len(source.data)
            if answer.length not in (size, None):
                raise UpstreamFailed("The answer's body does not match its length.", sent=True)
            answer.length = size
        unread = body is not None and not body.ended and not body.discard_buffered()
        if unread or self.server.stopping:
            self.keeps_alive = False
        transport.may_send_interim = False
        bodiless = method == b"HEAD" or status in BODILESS_STATUSES
        fields = self._header_fields(answer, bodiless)
        reason = REASON_PHRASES.get(status, b"")
        head = encode_response_head(h11.Response(status_code=status, headers=fields, reason=reason))
        end = max(answer.deadline, self.server.clock.now() + MIN_SEND_SECONDS)
        if bodiless or source is None:
            await transport.send(head, end)
        elif isinstance(source, BytesBody) and len(source.data) <= MAX_JOINED_BYTES:
            await transport.send(head + source.data, end)
        elif isinstance(source, BytesBody):
            await transport.send(head, end)
            await transport.send(source.data, end)
        else:
            await transport.send(head, end)
            await self._stream(source, answer.length, end)

    async def _stream(self, body: Body, length: int | None, end: float) -> None:
        """Send a body piece by piece until the time `end`."""
        writer = body_writer(length, chunked=self.version == HTTP_11)
        try:
            async with curio.timeout_after(seconds_until(end, self.server.clock)):
                while piece := await body.read():
                    await self.transport.send(encode_body_event(writer, h11.Data(piece)), end)
                if last := encode_body_event(writer, END_OF_MESSAGE):
                    await self.transport.send(last, end)
        except curio.TaskTimeout:
            message = "The answer was not whole at the call's timeout."
            raise UpstreamFailed(message, sent=True, timed_out=True) from None
        except h11.LocalProtocolError as error:
            message = f"The answer's body does not match its length: {error}."
            raise UpstreamFailed(message, sent=True) from error

    def _header_fields(self, answer: Answer, bodiless: bool) -> ValidatedHeaders:
        pairs = [pair for pair in answer.headers if pair[0] not in REMOVED_FIELDS]
        length = answer.length
        if answer.body is None and not bodiless:
            length = 0
        if length is not None and answer.status != 204:
            pairs.append((CONTENT_LENGTH, b"%d" % length))
        elif not bodiless and self.version == HTTP_11:
            pairs.append(CHUNKED)
        if not self.keeps_alive:
            pairs.append(CLOSE)
        return ValidatedHeaders(pairs)

    def _mark_truncated(self, answer: Answer) -> None:
        """Make a truncated answer detectable by the caller.

        A missing last chunk or a short body shows the truncation. A body delimited by the end of
        the connection (HTTP/1.0) needs a reset.
        """
        if answer.length is None and self.version != HTTP_11:
            self.transport.abort_on_close()

    async def _prepare_next(self, body: CallerBody | None = None) -> bool:
        """Return True if the connection can be reused; otherwise drain it and return False."""
        self.transport.holding.release()
        if self.keeps_alive and (body is None or body.ended):
            return True
        await self.transport.drain()
        return False
