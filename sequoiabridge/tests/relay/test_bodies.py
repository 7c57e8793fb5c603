"""Tests of buffered bodies: whichever attempts read them, each sends the whole body or fails."""

import curio
import pytest

from ...exceptions import UpstreamFailed
from ...pipeline.buffering import ReplayableBody
from ...pipeline.exchange import Body
from ...relay.bodies import PartlyBufferedBody


class Pieces(Body):
    """A body that is read piece by piece."""

    def __init__(self, *pieces):
        self.pieces = list(pieces)

    async def read(self):
        return self.pieces.pop(0) if self.pieces else b""


async def read_all(body):
    data = b""
    while piece := await body.read():
        data += piece
    return data


def test_a_partly_buffered_body_is_whole_for_an_attempt_after_one_that_read_its_first_part():
    # The next attempt sent only what was left, which an upstream took for the whole body.
    async def main():
        body = PartlyBufferedBody(b"first ", Pieces(b"second ", b"third"))
        assert await body.open().read() == b"first " and body.is_held
        assert await read_all(body.open()) == b"first second third"
        assert not body.is_held

    curio.run(main)


def test_no_attempt_sends_a_body_of_which_another_has_read_the_rest():
    async def main():
        body = PartlyBufferedBody(b"first", Pieces(b"second", b"third"))
        owner, late = body.open(), body.open()
        assert [await owner.read(), await owner.read()] == [b"first", b"second"]
        for attempt in (late.read, late.read):
            with pytest.raises(UpstreamFailed):
                await attempt()
        with pytest.raises(UpstreamFailed):
            body.open()
        assert [await owner.read(), await owner.read()] == [b"third", b""]

    curio.run(main)


def test_attempts_that_send_a_buffered_body_at_the_same_time_each_send_all_of_it():
    # A hedge rewound the body that the first attempt was still sending.
    async def main():
        body = ReplayableBody(b"whole")
        first, hedge = body.open(), body.open()
        assert await first.read() == b"whole"
        assert [await hedge.read(), await hedge.read()] == [b"whole", b""]
        assert await first.read() == b""

    curio.run(main)
