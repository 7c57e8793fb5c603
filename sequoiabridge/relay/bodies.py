"""Buffers bodies; those of requests so that they can be resent, whatever their callers do."""

from __future__ import annotations

from collections.abc import Callable

import curio

from ..callers.refusals import caller_too_slow
from ..exceptions import Refusal, UpstreamFailed
from ..outcome import Outcome
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Body, Request

MAX_BUFFERED_BODY = 1024 * 1024
"""Maximum number of bytes of a request body that are buffered. A longer body is streamed and can be
sent only once."""

BLOCK_BYTES = 64 * 1024
"""Size of the blocks in which a body is buffered, and for which memory is reserved if the length is
not known. One buffer that grows for each call would fragment the memory."""

CHECK_INTERVAL = 0.25
"""Seconds between checks whether it is still of use to wait for a request's body."""


class PrefixedBody(Body):
    """The body of an answer whose first bytes have been read and are kept in memory."""

    __slots__ = ("prefix", "rest")

    def __init__(self, prefix: bytes, rest: Body):
        self.prefix = prefix
        self.rest = rest

    async def read(self) -> bytes:
        """Return the prefix first, then chunks of the rest."""
        if self.prefix:
            prefix, self.prefix = self.prefix, b""
            return prefix
        return await self.rest.read()

    async def close(self) -> None:
        """Close the rest."""
        await self.rest.close()


class PartlyBufferedBody(Body):
    """The body of a request of which only the first part is in memory.

    Attempts can send it one after the other until one of them reads beyond the first part. From
    then on that attempt owns the rest, and no other can send the body.

    Attributes:
        prefix: The first part; b"" once the rest has an owner.
        rest: The part that has not been received yet.
        owner: The reader that has read beyond the first part, or None.
        is_whole: Whether all of it has been received.
    """

    __slots__ = ("prefix", "rest", "owner", "is_whole")

    def __init__(self, prefix: bytes, rest: Body):
        self.prefix = prefix
        self.rest = rest
        self.owner: PartlyBufferedReader | None = None
        self.is_whole = False

    @property
    def is_held(self) -> bool:
        """Whether the rest has not been read, so that the whole body can be sent."""
        return self.owner is None

    def open(self) -> PartlyBufferedReader:
        """Return a reader of the whole body.

        Raises:
            UpstreamFailed: Another attempt has read the rest.
        """
        if not self.is_held:
            raise body_is_gone(sent=False)
        return PartlyBufferedReader(self)

    async def read(self) -> bytes:
        """Return the next piece of the rest."""
        piece = await self.rest.read()
        self.is_whole = not piece
        return piece

    def limit(self, size: int) -> None:
        """Limit the rest to `size` bytes."""
        self.rest.limit(size)

    def stalled_seconds(self) -> float:
        """Return the seconds for which the rest has been waited for without progress."""
        return self.rest.stalled_seconds()

    def evict(self) -> None:
        """End the wait for the rest."""
        self.rest.evict()

    async def close(self) -> None:
        """Close the rest."""
        await self.rest.close()


class PartlyBufferedReader(Body):
    """Reads a partly buffered body from its first byte, for one attempt."""

    __slots__ = ("body", "prefix_was_read")

    def __init__(self, body: PartlyBufferedBody):
        self.body = body
        self.prefix_was_read = False

    async def read(self) -> bytes:
        """Return the first part, then pieces of the rest.

        Raises:
            UpstreamFailed: Another attempt has read the rest; what was sent is incomplete.
        """
        body = self.body
        if body.owner not in (None, self):
            raise body_is_gone(sent=self.prefix_was_read)
        if not self.prefix_was_read:
            self.prefix_was_read = True
            return body.prefix
        if body.owner is None:
            body.owner, body.prefix = self, b""
            body.rest.release()
        return await body.read()


def body_is_gone(sent: bool) -> UpstreamFailed:
    """Return the error of an attempt whose body another attempt has read."""
    message = "Another attempt has read the rest of the body. The caller must send it again."
    return UpstreamFailed(message, sent=sent)


class BlockBuffer:
    """Bytes that are appended in pieces of any size.

    Attributes:
        size: Number of bytes.
    """

    __slots__ = ("blocks", "size")

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.size = 0

    def append(self, piece: bytes) -> None:
        """Append a piece."""
        if not self.blocks or len(self.blocks[-1]) + len(piece) > BLOCK_BYTES:
            self.blocks.append(bytearray())
        self.blocks[-1] += piece
        self.size += len(piece)

    def take(self) -> bytes:
        """Return all bytes and forget them."""
        whole = b"".join(self.blocks)
        self.clear()
        return whole

    def clear(self) -> None:
        """Forget all bytes."""
        self.blocks.clear()
        self.size = 0


async def drain(body: Body, max_bytes: int) -> None:
    """Read an answer's body, at most about `max_bytes` of it, and close it."""
    size = 0
    while size < max_bytes and (chunk := await body.read()):
        size += len(chunk)
    await body.close()


async def buffer_body(
    request: Request, max_body: int, timeout: float, check: Callable[[], None]
) -> None:
    """Replace a request's body by a buffered one; of a long body, buffer the first part.

    Args:
        max_body: Maximum size in bytes.
        timeout: Seconds within which the body must have come.
        check: Called regularly until the body has come; raises `Refusal` if waiting is of no use.

    Raises:
        CallerGone: The caller disconnected before the end of the body.
        Refusal: The body is too large or took too long, there is no memory for it, or that of
            `check`. The call has not run.
    """
    body = request.body
    if body is None:
        return
    body.limit(max_body)
    buffered = BlockBuffer()
    try:
        announced = request.length or 0
        body.reserve(min(announced, MAX_BUFFERED_BODY) if announced <= max_body else 0)
        async with curio.timeout_after(max(0.0, timeout)):
            await _fill(buffered, body, announced, check)
    except curio.TaskTimeout:
        buffered.clear()
        raise caller_too_slow("body") from None
    except Refusal as refusal:
        refusal.outcome = Outcome.NOT_RUN
        buffered.clear()  # The refusal refers to it until the call has ended.
        raise
    if buffered.size > MAX_BUFFERED_BODY:
        request.body = PartlyBufferedBody(buffered.take(), body)
        return
    request.length = buffered.size
    request.body = ReplayableBody(buffered.take())


async def _fill(
    buffered: BlockBuffer, body: Body, reserved: int, check: Callable[[], None]
) -> None:
    """Buffer a body; reserve memory for what is more than the bytes that are reserved already."""
    while buffered.size <= MAX_BUFFERED_BODY and (chunk := await _read(body, check)):
        while buffered.size + len(chunk) > reserved:
            body.reserve(BLOCK_BYTES)
            reserved += BLOCK_BYTES
        buffered.append(chunk)


async def _read(body: Body, check: Callable[[], None]) -> bytes:
    """Return the next piece of a body; call `check` regularly until it has come."""
    while True:
        check()
        async with curio.ignore_after(CHECK_INTERVAL):
            return await body.read()
