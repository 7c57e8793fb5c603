"""Reads and writes HTTP/1.1 messages with h11's readers and writers.

The state machine of `h11.Connection` is left out for speed: the daemon tracks the state of its
connections itself. Some of the names imported from h11 are private, so pyproject.toml pins h11 to
0.16, and only this module and `header_cache` import private names.
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
"""Maximum number of bytes read from a socket at once."""
MAX_LINE_BYTES = 16 * 1024
"""Maximum size of a chunk header or of the trailers."""

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
"""Lowest status code of a response that is not an interim one."""
MAX_STATUS = 599
SPOKEN_VERSIONS = frozenset({b"1.0", HTTP_11})
BLANKS = (b" ", b"\t")
HEADER_CACHE = HeaderCache()
"""Cache of parsed header lines, shared by all connections."""

END_OF_MESSAGE = h11.EndOfMessage()


class UntilCloseReader:
    """Reads a body of unknown length, which ends when the connection closes."""

    __slots__ = ()

    def __call__(self, buffer: ReceiveBuffer) -> h11.Data | None:
        data = buffer.maybe_extract_at_most(READ_SIZE)
        return h11.Data(data=data) if data else None


BodyReader = ContentLengthReader | ChunkedReader | UntilCloseReader
BodyWriter = ContentLengthWriter | ChunkedWriter | Http10Writer


class UnsafeHeader(SequoiaError):
    """A header value contains a line break."""


class InputBuffer:
    """Bytes received on a connection that have not been parsed yet.

    `closed` is true once the remote end has closed its stream.
    """

    __slots__ = ("buffer", "closed")

    def __init__(self):
        self.buffer = ReceiveBuffer()
        self.closed = False

    def __len__(self) -> int:
        return len(self.buffer)

    def feed(self, data: bytes) -> None:
        """Append data read from a socket; b"" marks the end of the stream."""
        if data:
            self.buffer += data
        else:
            self.closed = True

    def take(self, size: int) -> bytes:
        """Remove and return `size` bytes, which must have been received already."""
        return bytes(self.buffer.maybe_extract_at_most(size) or b"")

    def read_request(self) -> tuple[h11.Request | None, bytes]:
        """Return the next request and the bytes of its head; None and b"" while it is incomplete.

        Raises:
            h11.LocalProtocolError: The head is malformed.
        """
        received = bytes(self.buffer)
        lines = self._extract_head()
        if lines is None:
            return None, b""
        return parse_request(lines), received[: len(received) - len(self.buffer)]

    def read_response(self) -> tuple[h11.Response | h11.InformationalResponse | None, int]:
        """Return the next response and the size of its head in bytes; see `read_request`."""
        size = len(self.buffer)
        lines = self._extract_head()
        if lines is None:
            return None, 0
        return parse_response(lines), size - len(self.buffer)

    def _extract_head(self) -> list[bytearray] | None:
        """Remove the lines of the next head and return them; None while it is incomplete."""
        lines = self.buffer.maybe_extract_lines()
        if lines is None:
            if self.buffer.is_next_line_obviously_invalid_request_line():
                raise h11.LocalProtocolError("this is not HTTP")
            return None
        if not lines:
            raise h11.LocalProtocolError("the first line is missing")
        return lines

    def read_body_event(self, reader: BodyReader) -> h11.Data | h11.EndOfMessage | None:
        """Return the next piece or the end of a body; None if more bytes are needed.

        Raises:
            h11.LocalProtocolError: The body is malformed.
        """
        event = reader(self.buffer)
        if event is None and len(self.buffer) > MAX_LINE_BYTES:
            raise h11.LocalProtocolError("a chunk's header or the trailers are too long")
        return event


def parse_request(lines: list[bytearray]) -> h11.Request:
    """Return the request with these head lines, as h11's own reader does.

    Raises:
        h11.LocalProtocolError: The head is malformed.
    """
    first = validate(request_line_re, lines[0], "illegal request line: {!r}", lines[0])
    return h11.Request(headers=HEADER_CACHE.parse(lines[1:]), _parsed=True, **first)


def parse_response(lines: list[bytearray]) -> h11.Response | h11.InformationalResponse:
    """Return the response with these head lines; see `parse_request`.

    h11 accepts statuses that HTTP does not define, other versions, and folded fields. A folded line
    may be a field whose name is damaged.
    """
    first = validate(status_line_re, lines[0], "illegal status line: {!r}", lines[0])
    status = int(first["status_code"])
    version = first["http_version"] or HTTP_11
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise h11.LocalProtocolError(f"the status {status} is none of HTTP")
    if version not in SPOKEN_VERSIONS:
        raise h11.LocalProtocolError(f"the version {version!r} is not spoken here")
    if any(line[:1] in BLANKS for line in lines[1:]):
        raise h11.LocalProtocolError("a field begins with a blank")
    kind = h11.Response if status >= MIN_FINAL_STATUS else h11.InformationalResponse
    return kind(
        headers=HEADER_CACHE.parse(lines[1:]),
        _parsed=True,
        status_code=status,
        reason=first["reason"] or b"",
        http_version=version,
    )


def body_reader(length: int | None) -> BodyReader:
    """Return a reader for a body of `length` bytes, or for a chunked body if it is None."""
    return ChunkedReader() if length is None else ContentLengthReader(length)


def body_writer(length: int | None, chunked: bool = True) -> BodyWriter:
    """Return a writer for a body of `length` bytes.

    If `length` is None, the body is chunked, or it ends with the connection if `chunked` is false.
    """
    if length is not None:
        return ContentLengthWriter(length)
    return ChunkedWriter() if chunked else Http10Writer()


def encode_body_event(writer: BodyWriter, event: h11.Data | h11.EndOfMessage) -> bytes:
    """Return the encoded bytes of a piece or of the end of a body; may be b"".

    Raises:
        h11.LocalProtocolError: The body is longer or shorter than the writer's length.
    """
    chunks: list[bytes] = []
    writer(event, chunks.append)
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)


def encode_request_head(event: h11.Request) -> bytes:
    """Return the encoded head of a request; its headers must define the body's framing."""
    lines: list[bytes] = []
    write_request(event, lines.append)
    return _join_head(lines)


def encode_response_head(event: h11.Response | h11.InformationalResponse) -> bytes:
    """Return the encoded head of a response; its headers must define the body's framing."""
    lines: list[bytes] = []
    write_any_response(event, lines.append)
    return _join_head(lines)


def _join_head(lines: list[bytes]) -> bytes:
    """Join the lines of a head; raise `UnsafeHeader` if a value contains a line break."""
    head = b"".join(lines)
    if head.count(b"\n") != len(lines) or head.count(b"\r") != len(lines):
        raise UnsafeHeader("A header value contains a line break; remove it where it is created.")
    return head
