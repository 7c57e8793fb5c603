"""Header fields of requests and responses, and what they say about the framing of the message."""

import re

import h11

from .headers import HOP_BY_HOP

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
EXPECT = b"expect"
KEEP_ALIVE = b"keep-alive"
HTTP_11 = b"1.1"

PER_CONNECTION_FIELDS = HOP_BY_HOP | {CONTENT_LENGTH}
"""Headers that apply to one connection and are not passed on."""

BODILESS_STATUSES = frozenset({204, 304})
"""Status codes of responses that never have a body, whatever their headers say."""

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d{1,6})")
"""The timeout parameter of a Keep-Alive header: seconds that an idle connection is kept open."""

STANDARD_OPTIONS = frozenset({b"close", b"keep-alive", b""})
"""Options of a Connection header that do not name another header."""

Headers = type(h11.EndOfMessage().headers)
"""h11's class of header fields, which has no public name."""


class ValidatedHeaders(Headers):
    """Header fields that h11 writes without validating them again.

    For fields that a parser has checked already or that the daemon has created. Names are in lower
    case.
    """

    __slots__ = ("pairs",)

    def __init__(self, pairs: list[tuple[bytes, bytes]]):
        super().__init__([(name, name, value) for name, value in pairs])
        self.pairs = pairs

    def __iter__(self):
        return iter(self.pairs)


class MessageHead:
    """The header fields and the framing of a received message.

    Attributes:
        pairs: The headers to pass on, names in lower case.
        length: The Content-Length, or None.
        chunked: True if the body is chunked; with a length too, the framing is ambiguous.
        keeps_alive: True if the sender keeps the connection open after this message.
        keep_alive_timeout: Seconds until the sender closes an idle connection, or None.
        expects_continue: True if the sender waits for 100 (Continue) before sending the body.
    """

    __slots__ = (
        "pairs",
        "length",
        "chunked",
        "keeps_alive",
        "keep_alive_timeout",
        "expects_continue",
    )

    def __init__(self, event: h11.Request | h11.Response, drop: frozenset[bytes]):
        self.pairs: list[tuple[bytes, bytes]] = []
        self.length: int | None = None
        self.chunked = False
        self.keeps_alive = event.http_version == HTTP_11
        self.keep_alive_timeout: int | None = None
        self.expects_continue = False
        options: list[bytes] = []
        for name, value in event.headers:
            if name not in drop:
                self.pairs.append((name, value))
            elif name == CONTENT_LENGTH:
                self.length = int(value)
            elif name == TRANSFER_ENCODING:
                self.chunked = True
            elif name == CONNECTION:
                options.append(value)
            elif name == KEEP_ALIVE and (found := KEEP_ALIVE_TIMEOUT_PATTERN.search(value)):
                self.keep_alive_timeout = int(found[1])
            elif name == EXPECT:
                self.expects_continue = value.lower() == b"100-continue" and self.keeps_alive
        if options:
            self._apply_connection_options(options)

    def _apply_connection_options(self, options: list[bytes]) -> None:
        named = {option.strip().lower() for value in options for option in value.split(b",")}
        if b"close" in named:
            self.keeps_alive = False
        named -= STANDARD_OPTIONS
        if named:
            self.pairs = [pair for pair in self.pairs if pair[0] not in named]
