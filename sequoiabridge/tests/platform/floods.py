"""Messages without end, in each place of a message where bytes can go on."""

from __future__ import annotations

import curio

BLOCK_BYTES = 16 * 1024
"""Approximate size of a block that is sent again and again."""

FILLER = b"x" * BLOCK_BYTES
ENDLESS_LENGTH = 10**12

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nother"
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, FILLER)
ONE_BYTE_CHUNK = b"1\r\nx\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def repeated(piece: bytes) -> bytes:
    """Return a block of repetitions of a piece."""
    return piece * (BLOCK_BYTES // len(piece) + 1)


BODY_FLOODS = {
    "chunks": (CHUNKED, CHUNK),
    "one-byte-chunks": (CHUNKED, repeated(ONE_BYTE_CHUNK)),
    "chunk-extension": (CHUNKED + b"5;", FILLER),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", repeated(b"X-More: more\r\n")),
    "length": (b"Content-Length: %d\r\n\r\n" % ENDLESS_LENGTH, FILLER),
}
"""By name, the end of a head, and the block that is sent after it without end."""

ANSWER_FLOODS = ("interim", "first-line", "head", "other-answers", "until-close", *BODY_FLOODS)
"""Places of an answer where it can go on without end."""


FORWARDED_FLOODS = frozenset({"until-close", "chunks", "one-byte-chunks", "length"})
"""Answers without end that reach the caller."""


def answer_flood(kind: str, head: bytes) -> tuple[bytes, bytes]:
    """Return the begin of an answer without end, and the block to repeat after it.

    Args:
        head: The lines of the answer's head before those that frame its body.
    """
    if kind in BODY_FLOODS:
        framing, block = BODY_FLOODS[kind]
        return head + framing, block
    return {
        "interim": (b"", repeated(INTERIM)),
        "first-line": (b"HTTP/1.1 200 ", FILLER),
        "head": (head, repeated(b"X-More: more\r\n")),
        "other-answers": (b"", repeated(OTHER_ANSWER)),
        "until-close": (head + b"\r\n", FILLER),
    }[kind]


async def send_flood(sock, first: bytes, block: bytes, pause: float = 0.0) -> None:
    """Send a message without end until the other side closes the connection."""
    await sock.sendall(first)
    while True:
        await sock.sendall(block)
        await curio.sleep(pause)
