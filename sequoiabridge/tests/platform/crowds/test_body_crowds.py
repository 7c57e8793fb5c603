"""Crowds of callers whose bodies stop short, come without end, or come again and again."""

import pytest

from .crowd import Crowd, CrowdCaller, chunked, head
from .scene import MAX_BODY, run_scene

CROWD = 150
"""Number of callers; what they send together is more than the machine's memory."""

BODY_BYTES = 1_040_000
"""Size of a body of legal size."""

SMALL_CHUNK_BYTES = 128
"""Size of very small chunks, of which a body has thousands."""

RETURNING_CALLERS, VISITS = 40, 15

TINY_CHUNK_CALLERS, TINY_CHUNKS = 40, 20_000

UPLOAD = "/slow-upload/x"
CHUNKED = "Transfer-Encoding: chunked"
WITH_LENGTH = head("POST", UPLOAD, f"Content-Length: {BODY_BYTES}")
IN_CHUNKS = head("POST", UPLOAD, CHUNKED)
SHORT_BODY = b"x" * (BODY_BYTES - 1)

BODIES = {
    "whole": (WITH_LENGTH + SHORT_BODY, False),
    "pieces": (WITH_LENGTH + SHORT_BODY, True),
    "large-chunks": (IN_CHUNKS + chunked(BODY_BYTES, 64 * 1024), True),
    "one-chunk": (IN_CHUNKS + b"%x\r\n" % BODY_BYTES + SHORT_BODY, False),
    "small-chunks": (IN_CHUNKS + chunked(BODY_BYTES, SMALL_CHUNK_BYTES), True),
}
"""By name, a request without its end, and whether it is sent in pieces."""


@pytest.mark.parametrize("kind", BODIES)
def test_many_bodies_that_stop_short_of_their_end_fit_into_memory(kind):
    # Each call kept up to 1 MiB, and nothing limited what all calls kept together.
    async def test(scene):
        data, in_pieces = BODIES[kind]
        callers = [CrowdCaller(scene.address, data, in_pieces=in_pieces) for _ in range(CROWD)]
        await scene.let_in(Crowd(callers))

    run_scene(test)


def test_bodies_in_chunks_of_one_byte_fit_into_memory():
    async def test(scene):
        data = IN_CHUNKS + chunked(TINY_CHUNKS, 1)
        callers = [CrowdCaller(scene.address, data) for _ in range(TINY_CHUNK_CALLERS)]
        await scene.let_in(Crowd(callers))

    run_scene(test)


def test_callers_that_reset_and_come_again_fit_into_memory():
    # The bodies of callers that had left were read as well, all at the same time.
    async def test(scene):
        data = WITH_LENGTH + SHORT_BODY
        callers = [
            CrowdCaller(scene.address, data, visits=VISITS) for _ in range(RETURNING_CALLERS)
        ]
        await scene.let_in(Crowd(callers))

    run_scene(test)


TOO_LONG = 100 * MAX_BODY
TOO_LONG_BODIES = {
    "announced": (head("POST", UPLOAD, f"Content-Length: {TOO_LONG}"), b"x" * 65536),
    "sent": (IN_CHUNKS, chunked(65536, 65536)),
}
"""By name, the head of a request with a body over the limit, and the block that is repeated."""


@pytest.mark.parametrize("kind", TOO_LONG_BODIES)
def test_bodies_far_over_the_limit_fit_into_memory(kind):
    async def test(scene):
        first, block = TOO_LONG_BODIES[kind]
        callers = [
            CrowdCaller(scene.address, first, block=block, max_bytes=TOO_LONG) for _ in range(CROWD)
        ]
        await scene.let_in(Crowd(callers))

    run_scene(test)
