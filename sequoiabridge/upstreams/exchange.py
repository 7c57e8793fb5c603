"""One request to an upstream and its answer, on a connection lent for it."""

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
"""What the daemon says to callers itself is not taken from an upstream."""
METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})
"""Methods whose requests say so when they have no body (RFC 9110, 8.6)."""
KEEP_ALIVE_USED_SHARE = 0.8
"""Share of the time for which an upstream keeps an idle connection in which it is used: what is
sent at the very end meets the close."""
CHUNKED_FIELD = (TRANSFER_ENCODING, b"chunked")


class HttpConnection(UpstreamConnection):
    """A link lent for one request.

    Once `read_head` has returned, the answer's body owns the link: it is given back when the body
    ends or is closed. Before that, `Connector.release` gives it back. It is given back once;
    later calls do nothing.
    """

    __slots__ = ("connector", "link", "method", "is_answer", "is_released")

    def __init__(self, connector: HttpConnector, link: Link):
        self.connector = connector
        self.link = link
        self.method = b""
        self.is_answer = None
        self.is_released = False

    @property
    def opened_at(self) -> float:
        """Return the time at which the connection was opened."""
        return self.link.opened_at

    @property
    def last_received_at(self) -> float:
        """Return the time of the last byte from the upstream."""
        return self.link.last_received_at

    @property
    def requests(self) -> int:
        """Return how many requests the connection has carried."""
        return self.link.requests

    @property
    def is_reusable(self) -> bool:
        """Return True if the answer ended cleanly and the connection was kept."""
        return self.is_released and not self.link.closed

    async def close(self) -> None:
        """Close at once; cancels the request. It must still be given back by `release`."""
        if not self.is_released:
            await self.link.close()

    async def release(self) -> None:
        """Give the link back, the first time."""
        if self.is_released:
            return
        self.is_released = True
        await self.connector.release_link(self.link)

    async def send(self, request: UpstreamRequest) -> None:
        """Send the request's head and its whole body.

        The first piece of a body is read before the head is sent: a caller that leaves or is
        refused at once has then reached no upstream.
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
        """Send a request with a body until its end, or until the upstream has refused it."""
        link = self.link
        piece = await body.read()
        await self._send(head + encode_body_event(writer, h11.Data(piece)))
        while piece and not link.refused:
            piece = await body.read()
            self._check_early_answer()
            if piece and not link.refused:
                await self._send(encode_body_event(writer, h11.Data(piece)))
        if not link.refused and (end := encode_body_event(writer, END_OF_MESSAGE)):
            await self._send(end)

    async def read_head(self) -> Answer:
        """Wait for the answer's head; see the base class. A small body comes with it."""
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
        """Return the head of the answer to this request; late ones to others are passed over."""
        link = self.link
        event = link.early_response
        while True:
            while event is None:
                event = link.response(self.connector.limits.max_head)
                if event is None:
                    await link.receive()
            head = MessageHead(event, DROPPED_ANSWER_FIELDS)
            if self.is_answer is None or self.is_answer(head.pairs):
                return event, head
            await self._discard_answer(head)
            event = link.early_response = None

    async def _discard_answer(self, head: MessageHead) -> None:
        """Read and drop the body of an answer that belongs to an earlier request."""
        self.link.is_out_of_sync = True
        reader = self._choose_body_reader(head)
        while type(await self.link.read_body_event(reader)) is h11.Data:
            pass

    def _choose_body_reader(self, head: MessageHead) -> BodyReader:
        """Return what reads the body after `head`."""
        if head.chunked != (head.length is not None):
            return body_reader(head.length)
        if not head.chunked and self.connector.limits.allow_until_close:
            self.link.keeps_alive = False
            return UntilCloseReader()
        message = "The answer's length is not known for sure. Send one of Content-Length or "
        raise self.link.make_failure(message + "Transfer-Encoding: chunked.")

    async def _complete(self, answer: Answer) -> Answer:
        """Give the link back, since all of the answer is here."""
        self.link.answer_ended = True
        await self.release()
        return answer

    async def _send(self, data: bytes) -> None:
        """Send all of `data` unless the upstream refuses the request meanwhile."""
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
            # It may have refused the request and closed; that answer is not to be lost.
            self._check_early_answer()
            if not link.refused:
                raise

    def _check_early_answer(self) -> None:
        link = self.link
        if link.early_response is None and link.try_receive():
            link.early_response = link.response(self.connector.limits.max_head)


class AnswerBody(Body):
    """An answer's body that is still coming; gives the connection back at its end or close."""

    __slots__ = ("connection", "reader")

    def __init__(self, connection: HttpConnection, reader: BodyReader):
        self.connection = connection
        self.reader = reader

    async def read(self) -> bytes:
        """Return the next piece, b"" at the clean end.

        Raises:
            UpstreamFailed: The body was cut short; the connection is closed.
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
        """Give the connection back; it is closed if the body has not ended."""
        await self.connection.release()


def _build_request(request: UpstreamRequest, address: str) -> h11.Request:
    """Return the request as h11's event, with the framing of its body."""
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
