"""Cached header lines must give the same fields and errors as h11."""

import h11
import pytest
from h11._readers import maybe_read_from_IDLE_client
from h11._receivebuffer import ReceiveBuffer

from ..codec import InputBuffer
from ..header_cache import MAX_LINES, HeaderCache

HEADS = [
    b"Host: a\r\nX-One: 1\r\nx-one:  2 \r\nContent-Length: 5",
    b"Host: a\r\nContent-Length: 5\r\nContent-Length: 5",
    b"Host: a\r\nContent-Length: 5\r\nContent-Length: 6",
    b"Host: a\r\nContent-Length: 5, 5",
    b"Host: a\r\nContent-Length: -5",
    b"Host: a\r\nTransfer-Encoding: Chunked",
    b"Host: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    b"Host: a\r\nTransfer-Encoding: gzip",
    b"Host: a\r\nX-One: 1\r\n folded",
    b" folded first\r\nHost: a",
    b"Host: a\r\nHost: a",
    b"X-One: 1",
    b"Host: a\r\nX-One : 1",
    b"Host: a\r\nno colon",
    b"Host: a\r\nX-Zero: a\0b",
    b"Host: a\nX-Bare: line end",
]


def outcome(read):
    try:
        event = read()
    except h11.LocalProtocolError as error:
        # The messages differ only in how they quote the line.
        return str(error).partition(":")[0], error.error_status_hint
    return event, list(event.headers), event.headers.raw_items()


@pytest.mark.parametrize("lines", HEADS)
def test_head_is_parsed_as_by_h11_uncached_and_cached(lines):
    data = b"GET /x HTTP/1.1\r\n" + lines + b"\r\n\r\n"

    def expected():
        buffer = ReceiveBuffer()
        buffer += data
        return maybe_read_from_IDLE_client(buffer)

    def parsed():
        received = InputBuffer()
        received.feed(data)
        return received.read_request()[0]

    assert outcome(parsed) == outcome(expected)
    assert outcome(parsed) == outcome(expected)


def test_cache_is_bounded_and_holds_no_secrets_and_no_long_lines():
    cache = HeaderCache()
    for number in range(3 * MAX_LINES):
        cache.parse([b"host: a", b"x-request: %d" % number])
        cache.parse([b"Cookie: %d" % number, b"AUTHORIZATION: b", b"x: " + b"l" * 300])
    cached = cache.recent | cache.previous
    assert len(cached) <= 2 * MAX_LINES and b"host: a" in cached
    assert not [
        line for line in cached if line[:6].lower() in (b"cookie", b"author") or len(line) > 256
    ]
