"""One request to an upstream and its answer over HTTP/1.1."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from ..codec import (
    END_OF_MESSAGE,
    BodyReader,
    BodyWriter,
    UntilCloseReader,
    body_reader,
    body_writer,
    encode_body_event,
    encode_request_head,
)
from ..exceptions import UpstreamFailed
from ..header_fields import (
    BODILESS_STATUSES,
    CONTENT_LENGTH,
    PER_CONNECTION_FIELDS,
    TRANSFER_ENCODING,
    MessageHead,
    ValidatedHeaders,
)
from ..headers import OUTCOME, REASON, REPLAYED, REQUEST_ID
from ..pipeline.exchange import Answer, Body, BytesBody
from .base import UpstreamConnection, UpstreamRequest
from .link import Link

if TYPE_CHECKING:
    from .connections import HttpConnector

DROPPED_ANSWER_FIELDS = PER_CONNECTION_FIELDS | {OUTCOME, REASON, REPLAYED, REQUEST_ID}
"""Header fields that are removed from answers; callers receive the daemon's own values."""
METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})
"""Methods whose requests have a Content-Length even without a body (RFC 9110, section 8.6)."""
KEEP_ALIVE_USED_SHARE = 0.8
"""Share of an upstream's keep-alive timeout in which an idle connection is reused. The margin
avoids sending a request while the upstream closes the connection."""
MIN_REFUSAL_STATUS = 400
"""An answer with at least this status stops the sending of the request's body."""
CHUNKED_FIELD = (TRANSFER_ENCODING, b"chunked")


class HttpConnection(UpstreamConnection):
    """A link in use for one request.

    Once `read_head` has returned, the answer's body owns the link and releases it when the body
    ends or is closed. Before that, `Connector.release` releases it. Only the first release has an
    effect.
    """

    __slots__ = ("connector", "link", "method", "is_answer", "is_released")

    def __init__(self, connector: HttpConnector, link: Link):
        self.connector = connector
        self.link = link
        self.method = b""
        self.is_answer = None
        self.is_released = False

    @property
    def via(self) -> str:
        """VM of the peer through which the connection was opened, "" for a direct one."""
        return self.link.via

    @property
    def opened_at(self) -> float:
        """Time at which the connection was opened."""
        return self.link.opened_at

    @property
    def last_received_at(self) -> float:
        """Time of the last byte from the upstream."""
        return self.link.last_received_at

    @property
    def requests(self) -> int:
        """Number of requests sent on the connection."""
        return self.link.requests

    @property
    def is_reusable(self) -> bool:
        """Whether the answer was complete and the connection was kept."""
        return self.is_released and not self.link.closed

    async def close(self) -> None:
        """Close immediately and cancel the request; `release` must still be called."""
        if not self.is_released:
            await self.link.close()

    async def release(self) -> None:
        """Return the link to the connector; later calls do nothing."""
        if self.is_released:
            return
        self.is_released = True
        await self.connector.release_link(self.link)

    async def send(self, request: UpstreamRequest) -> None:
        """Send the request's head and its complete body.

        The first piece of the body is read before the head is sent, so nothing reaches the
        upstream if the caller disconnects or is refused before that.
        """
        link = self.link
        link.requests += 1
        self.method = request.method
        self.is_answer = request.is_answer
        try:
            head = encode_request_head(_build_request(request, link.address))
            if request.body is None:
                await self._send(head)
            else:
                await self._send_with_body(head, request.body, body_writer(request.length))
        except h11.LocalProtocolError as error:
            message = f"The request does not fit HTTP: {error}. Correct the request."
            raise link.make_failure(message) from error
        link.request_ended = not link.refused

    async def _send_with_body(self, head: bytes, body: Body, writer: BodyWriter) -> None:
        """Send the head and the body; stop early if the upstream refuses the request."""
        link = self.link
        piece = await body.read()
        await self._send(head + encode_body_event(writer, h11.Data(piece)))
        while piece and not link.refused:
            self._check_early_answer()
            if link.refused:
                return  # What has not been read can be sent to another upstream.
            piece = b""  # The caller may take long; what was sent is not kept meanwhile.
            piece = await body.read()
            self._check_early_answer()
            if piece and not link.refused:
                await self._send(encode_body_event(writer, h11.Data(piece)))
        if not link.refused and (end := encode_body_event(writer, END_OF_MESSAGE)):
            await self._send(end)

    async def read_head(self) -> Answer:
        """Wait for the answer's head; a body that was received with it is in memory."""
        link = self.link
        event, head = await self._read_matching_head()
        link.keeps_alive = head.keeps_alive
        if head.keep_alive_timeout is not None:
            link.keep_alive_timeout = head.keep_alive_timeout * KEEP_ALIVE_USED_SHARE
        status, length = event.status_code, head.length
        if self.method == b"HEAD" or status in BODILESS_STATUSES:
            return await self._complete(Answer(status, head.pairs, length, None))
        reader = self._choose_body_reader(head)
        if length is None or len(link.received) < length:
            return Answer(status, head.pairs, length, AnswerBody(self, reader))
        return await self._complete(
            Answer(status, head.pairs, length, BytesBody(link.received.take(length)))
        )

    async def _read_matching_head(self) -> tuple[h11.Response, MessageHead]:
        """Return the head of the answer to this request; discard late answers to earlier ones."""
        link = self.link
        event = link.early_response
        while True:
            await link.turn.step()
            while event is None:
                event = link.read_response_head(self.connector.limits.max_head)
                if event is None:
                    await link.receive()
            head = MessageHead(event, DROPPED_ANSWER_FIELDS)
            if self._is_matching(head):
                return event, head
            await self._discard_answer(head)
            event = link.early_response = None
            link.head_bytes = 0

    async def _discard_answer(self, head: MessageHead) -> None:
        """Read and discard the body of an answer to an earlier request."""
        self.link.is_out_of_sync = True
        reader = self._choose_body_reader(head)
        while type(await self.link.read_body_event(reader)) is h11.Data:
            pass

    def _choose_body_reader(self, head: MessageHead) -> BodyReader:
        """Return a reader for the body that follows `head`."""
        if head.chunked != (head.length is not None):
            return body_reader(head.length)
        if not head.chunked and self.connector.limits.allow_until_close:
            self.link.keeps_alive = False
            return UntilCloseReader()
        message = "The answer's length is not known for sure. Send one of Content-Length or "
        raise self.link.make_failure(message + "Transfer-Encoding: chunked.")

    async def _complete(self, answer: Answer) -> Answer:
        """Release the link after the complete answer was received."""
        self.link.answer_ended = True
        await self.release()
        return answer

    async def _send(self, data: bytes) -> None:
        """Send all of `data`; stop early if the upstream refuses the request."""
        link = self.link
        try:
            sent = link.try_send(data)
            if sent == len(data):
                return
            rest = memoryview(data)[sent:]
            while rest and not link.refused:
                await link.wait_to_send()
                self._check_early_answer()
                rest = rest[link.try_send(rest) :]
        except UpstreamFailed:
            # The upstream may have sent a refusal before it closed the connection.
            self._check_early_answer()
            if not link.refused:
                raise

    def _check_early_answer(self) -> None:
        """Receive without waiting; an answer to an earlier request does not refuse this one."""
        link = self.link
        if link.early_response is not None or not link.try_receive():
            return
        event = link.early_response = link.read_response_head(self.connector.limits.max_head)
        if event is not None and event.status_code >= MIN_REFUSAL_STATUS:
            link.refused = self._is_matching(MessageHead(event, DROPPED_ANSWER_FIELDS))

    def _is_matching(self, head: MessageHead) -> bool:
        """Return whether a head is that of the answer to this request."""
        return self.is_answer is None or self.is_answer(head.pairs)


class AnswerBody(Body):
    """The body of an answer, read from the connection, which is released when the body ends."""

    __slots__ = ("connection", "reader")

    def __init__(self, connection: HttpConnection, reader: BodyReader):
        self.connection = connection
        self.reader = reader

    async def read(self) -> bytes:
        """Return the next piece, or b"" after the complete body.

        Raises:
            UpstreamFailed: The body is incomplete; the connection is closed.
        """
        if self.connection.is_released:
            return b""
        link = self.connection.link
        try:
            event = await link.read_body_event(self.reader)
        except UpstreamFailed:
            await self.close()
            raise
        if type(event) is h11.Data:
            return bytes(event.data)
        link.answer_ended = True
        await self.connection.release()
        return b""

    async def close(self) -> None:
        """Release the connection; it is closed if the body has not ended."""
        await self.connection.release()


def _build_request(request: UpstreamRequest, address: str) -> h11.Request:
    """Return the request as an h11 event, with the header fields that frame its body."""
    pairs = [pair for pair in request.headers if pair[0] not in PER_CONNECTION_FIELDS]
    if request.length is None:
        pairs.append(CHUNKED_FIELD)
    elif request.length or request.method in METHODS_WITH_BODY:
        pairs.append((CONTENT_LENGTH, b"%d" % request.length))
    try:
        return h11.Request(
            method=request.method, target=request.target, headers=ValidatedHeaders(pairs)
        )
    except h11.LocalProtocolError:
        if any(name == b"host" for name, _ in pairs):
            raise
    pairs.append((b"host", address.encode()))
    return h11.Request(
        method=request.method, target=request.target, headers=ValidatedHeaders(pairs)
    )
