"""Tests of request bodies that nobody reads."""

import pytest

from ...callers.body import MAX_DISCARDED_PIECES, CallerBody
from ...codec import InputBuffer

CHUNK = b"1\r\nx\r\n"
END = b"0\r\n\r\n"


class ReceivedTransport:
    """A transport whose input has all been received."""

    def __init__(self, data):
        self.received = InputBuffer()
        self.received.feed(data)


@pytest.mark.parametrize(("count", "is_found"), [(3, True), (100 * MAX_DISCARDED_PIECES, False)])
def test_the_end_of_an_unread_body_is_looked_for_in_a_few_pieces_only(count, is_found):
    # Other calls waited while 64 KB of chunks of one byte were parsed.
    transport = ReceivedTransport(CHUNK * count + END)
    body = CallerBody(transport, None, 1_000_000, False)
    assert body.discard_buffered() is is_found and body.ended is is_found
    assert bool(transport.received) is not is_found
