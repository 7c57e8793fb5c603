"""HTTP/1.1 by h11's readers and writers, without the state machine of `h11.Connection`.

A relayed call passes h11 four times. `h11.Connection` spends a third of that on states that a
relay keeps anyway (one request at a time, a connection reused only after a clean end); see
docs/design/hop-latency.md. The names taken from h11's modules are not public: pyproject.toml
holds h11 to 0.16, and only this module and `header_cache` import them.
"""

import h11
from h11._readers import (
    ChunkedReader,
    ContentLengthReader,
    request_line_re,
    status_line_re,
)
from h11._receivebuffer import ReceiveBuffer
from h11._util import validate
from h11._writers import (
    ChunkedWriter,
    ContentLengthWriter,
    Http10Writer,
    write_any_response,
    write_request,
)

from .exceptions import SequoiaError
from .header_cache import HeaderCache
from .header_fields import HTTP_11

READ_SIZE = 64 * 1024
"""Most bytes taken from a socket at once; bounds the memory of a streamed body."""
MAX_LINE_BYTES = 16 * 1024
"""Most bytes of a chunk's header or of the trailers."""

MIN_FINAL_STATUS = 200
"""Status from which an answer is not an interim one."""
HEADER_CACHE = HeaderCache()
"""Remembered header lines of all connections."""

END_OF_MESSAGE = h11.EndOfMessage()


class UntilCloseReader:
    """Reads a body that has no length and ends with its connection."""

    __slots__ = ()

    def __call__(self, buffer: ReceiveBuffer) -> h11.Data | None:
        data = buffer.maybe_extract_at_most(READ_SIZE)
        return h11.Data(data=data) if data else None


BodyReader = ContentLengthReader | ChunkedReader | UntilCloseReader
BodyWriter = ContentLengthWriter | ChunkedWriter | Http10Writer


class UnsafeHeader(SequoiaError):
    """A header value holds a line break; remove it where the value is made."""


class InputBuffer:
    """What has been received on a connection and not been read yet.

    `closed` is true once the other side has ended its stream.
    """

    __slots__ = ("buffer", "closed")

    def __init__(self):
        self.buffer = ReceiveBuffer()
        self.closed = False

    def __len__(self) -> int:
        return len(self.buffer)

    def feed(self, data: bytes) -> None:
        """Take what a socket returned, b"" for the end of the stream."""
        if data:
            self.buffer += data
        else:
            self.closed = True

    def take(self, size: int) -> bytes:
        """Remove `size` bytes, all of which must be here, and return them."""
        return bytes(self.buffer.maybe_extract_at_most(size) or b"")

    def read_request(self) -> tuple[h11.Request | None, bytes]:
        """Return the next request and its head's bytes; None while its head is not whole.

        Raises:
            h11.LocalProtocolError: It is malformed.
        """
        return self._read_head(parse_request)

    def read_response(self) -> tuple[h11.Response | h11.InformationalResponse | None, bytes]:
        """Return the next answer and its head's bytes; as `read_request`."""
        return self._read_head(parse_response)

    def _read_head(self, reader) -> tuple[h11.Event | None, bytes]:
        held = bytes(self.buffer)
        lines = self.buffer.maybe_extract_lines()
        if lines is None:
            if self.buffer.is_next_line_obviously_invalid_request_line():
                raise h11.LocalProtocolError("this is not HTTP")
            return None, b""
        if not lines:
            raise h11.LocalProtocolError("the first line is missing")
        return reader(lines), held[: len(held) - len(self.buffer)]

    def read_body_event(self, reader: BodyReader) -> h11.Data | h11.EndOfMessage | None:
        """Return the next part of a body, None while none is here.

        Raises:
            h11.LocalProtocolError: The body is malformed.
        """
        event = reader(self.buffer)
        if event is None and len(self.buffer) > MAX_LINE_BYTES:
            raise h11.LocalProtocolError("a chunk's header or the trailers are too long")
        return event


def parse_request(lines: list[bytearray]) -> h11.Request:
    """Return the request of a head's lines, as h11's own reader does.

    Raises:
        h11.LocalProtocolError: It is malformed.
    """
    first = validate(request_line_re, lines[0], "illegal request line: {!r}", lines[0])
    return h11.Request(headers=HEADER_CACHE.parse(lines[1:]), _parsed=True, **first)


def parse_response(lines: list[bytearray]) -> h11.Response | h11.InformationalResponse:
    """Return the answer of a head's lines, as h11's own reader does; as `parse_request`."""
    first = validate(status_line_re, lines[0], "illegal status line: {!r}", lines[0])
    status = int(first["status_code"])
    kind = h11.Response if status >= MIN_FINAL_STATUS else h11.InformationalResponse
    return kind(
        headers=HEADER_CACHE.parse(lines[1:]),
        _parsed=True,
        status_code=status,
        reason=first["reason"] or b"",
        http_version=first["http_version"] or HTTP_11,
    )


def body_reader(length: int | None) -> BodyReader:
    """Return h11's reader of a body of `length` bytes, of a chunked one for None."""
    return ChunkedReader() if length is None else ContentLengthReader(length)


def body_writer(length: int | None, chunked: bool = True) -> BodyWriter:
    """Return h11's writer of a body of `length` bytes; for None, chunked or up to the close."""
    if length is not None:
        return ContentLengthWriter(length)
    return ChunkedWriter() if chunked else Http10Writer()


def encode_body_event(writer: BodyWriter, event: h11.Data | h11.EndOfMessage) -> bytes:
    """Return the bytes of a part of a body; b"" for an end that has none.

    Raises:
        h11.LocalProtocolError: The body is longer or shorter than its length says.
    """
    parts: list[bytes] = []
    writer(event, parts.append)
    return parts[0] if len(parts) == 1 else b"".join(parts)


def encode_request_head(event: h11.Request) -> bytes:
    """Return the head of a request; its fields must say how its body is framed."""
    parts: list[bytes] = []
    write_request(event, parts.append)
    return _join_head(parts)


def encode_response_head(event: h11.Response | h11.InformationalResponse) -> bytes:
    """Return the head of an answer; its fields must say how its body is framed."""
    parts: list[bytes] = []
    write_any_response(event, parts.append)
    return _join_head(parts)


def _join_head(parts: list[bytes]) -> bytes:
    """Join the lines of a head; raise `UnsafeHeader` if a value has brought one of its own."""
    head = b"".join(parts)
    if head.count(b"\n") != len(parts) or head.count(b"\r") != len(parts):
        raise UnsafeHeader("A header value holds a line break. Remove it where it is made.")
    return head
