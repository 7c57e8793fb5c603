"""Tests of how the body of an upload is split into chunks."""

import curio
import pytest

from ...callers.refusals import out_of_memory
from ...pipeline.exchange import Body
from ...store.upload_chunks import BodyChunker

PIECE = b"x" * 10


class LimitedBody(Body):
    """A body without end, whose reader may keep a limited number of bytes in memory."""

    def __init__(self, limit):
        self.limit_bytes = limit
        self.reserved = 0

    async def read(self):
        return PIECE

    def reserve(self, size):
        if self.reserved + size > self.limit_bytes:
            raise out_of_memory()
        self.reserved += size

    def release(self, size=None):
        self.reserved = 0


@pytest.mark.parametrize("length", [None, 1000])
def test_memory_is_held_for_one_piece_at_a_time(length):
    body = LimitedBody(50)
    chunker = BodyChunker(body, length=length)
    pieces = [curio.run(chunker.next_piece(50)) for _ in range(3)]
    assert [len(piece.data) for piece in pieces] == [50, 50, 50]
    assert chunker.read_error is None and body.reserved == 50


@pytest.mark.parametrize(("length", "size"), [(None, 30), (1000, 0)])
def test_a_piece_for_which_there_is_no_memory_ends_the_body(length, size):
    # A body whose length is known is refused before anything of it is read.
    body = LimitedBody(25)
    chunker = BodyChunker(body, length=length)
    piece = curio.run(chunker.next_piece(50))
    assert len(piece.data) == size and chunker.read_error.status == 503
