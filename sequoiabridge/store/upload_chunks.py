"""Splits bodies of uploads into chunks, and stores and reads chunks in the object store."""

import hashlib
from collections.abc import Awaitable, Callable
from math import inf

import curio
from expression import Result

from ..exceptions import CallerGone, Refusal, StoreUnavailable
from ..pipeline.exchange import Body
from .base import ObjectStore, StoreErrorKind
from .upload_index import CHUNK_PREFIX, chunk_name
from .upload_manifest import Chunk, Manifest
from .upload_table import RetryBackoff

OBJECT_TIMEOUT = 30.0
"""Timeout in seconds of one call to the object store, except deletions."""

DELETE_TIMEOUT = 5.0
"""Timeout in seconds of one deletion; a failed one is left to the clean-up."""


HASH_BLOCK_SIZE = 256 * 1024
"""Bytes hashed before other tasks get to run."""


BeforeChunkRead = Callable[[], Awaitable[None]]
"""Called before each chunk is read back."""


class DeliveryAborted(CallerGone):
    """A delivery cannot go on: a chunk is missing or damaged, or the lease was lost."""


class Piece:
    """Bytes of a body, and their SHA-256."""

    __slots__ = ("data", "digest")

    def __init__(self, data: bytes, digest: bytes):
        self.data = data
        self.digest = digest


class BodyChunker:
    """Splits a body into pieces of a given size, one piece in memory at a time.

    Yields to other tasks after each `HASH_BLOCK_SIZE` bytes, since reads of data that has already
    arrived do not.

    Args:
        body: The body; memory for one piece is reserved with it.
        length: Size of the body in bytes, None if it is not known.

    Attributes:
        unread: Bytes read from the body beyond the last piece.
        reserved: Bytes reserved for the present piece.
        body_hash: SHA-256 of all pieces returned so far.
        read_error: Why the body ended early (caller gone or too slow), or None.
        bytes_since_yield: Bytes read since other tasks last got to run.
    """

    __slots__ = (
        "body",
        "sleep",
        "length",
        "unread",
        "reserved",
        "body_hash",
        "read_error",
        "bytes_since_yield",
    )

    def __init__(self, body: Body | None, sleep=curio.sleep, length: int | None = None):
        self.body = body
        self.sleep = sleep
        self.length = length
        self.reserved = 0
        self.bytes_since_yield = 0
        self.unread = b""
        self.body_hash = hashlib.sha256()
        self.read_error: CallerGone | Refusal | None = None

    async def next_piece(self, size: int) -> Piece:
        """Return the next `size` bytes; fewer only at the end or when `read_error` is set."""
        piece, digest = bytearray(), hashlib.sha256()
        self._begin_piece(size)
        while len(piece) < size:
            data = self.unread or await self._read()
            if not data:
                break
            missing = size - len(piece)
            part, self.unread = data[:missing], data[missing:]
            digest.update(part)
            self.body_hash.update(part)
            piece += part
            if not self._reserve(len(piece)):
                break
        if self.length is not None:
            self.length -= len(piece)
        return Piece(bytes(piece), digest.digest())

    def _begin_piece(self, size: int) -> None:
        """Release the memory of the last piece, and reserve that of the next if it is known."""
        if self.body is not None:
            self.body.release()
        self.reserved = 0
        self._reserve(min(size, self.length or 0))

    def _reserve(self, size: int) -> bool:
        """Reserve memory for a piece of `size` bytes; without any, set `read_error`."""
        try:
            if self.body is not None and size > self.reserved:
                self.body.reserve(size - self.reserved)
                self.reserved = size
        except Refusal as error:
            self.read_error = error
            return False
        return True

    async def _read(self) -> bytes:
        if self.body is None or self.read_error is not None:
            return b""
        if self.bytes_since_yield >= HASH_BLOCK_SIZE:
            self.bytes_since_yield = 0
            await self.sleep(0)
        try:
            data = await self.body.read()
        except (CallerGone, Refusal) as error:
            self.read_error = error
            return b""
        self.bytes_since_yield += len(data)
        return data


class ChunkStore:
    """Writes and reads chunks in the object store.

    A name is written only once, so a retried write that finds its name taken has succeeded.
    """

    def __init__(
        self, objects: ObjectStore, new_backoff: Callable[[float], RetryBackoff], sleep=curio.sleep
    ):
        self.objects = objects
        self.new_backoff = new_backoff
        self.sleep = sleep

    async def put(self, upload: str, chunk: Chunk, data: bytes, deadline: float = inf) -> None:
        """Store a chunk. Raises `StoreUnavailable` if it is not confirmed in time."""
        name = chunk_name(upload, chunk)
        backoff = self.new_backoff(deadline)
        while True:
            match await self.objects.put(name, data, backoff.timeout(OBJECT_TIMEOUT)):
                case Result(tag="ok"):
                    return
                case Result(error=error):
                    # Names are unique to a writer: if taken, an earlier attempt succeeded.
                    if error.kind is StoreErrorKind.CONDITION_FAILED:
                        return
                    if not await backoff.wait():
                        raise StoreUnavailable(f"{error.message}; resume the upload later")

    async def get(self, upload: str, chunk: Chunk, deadline: float = inf) -> bytes:
        """Return a chunk's bytes. Raises `DeliveryAborted` if it is missing or damaged."""
        name = chunk_name(upload, chunk)
        backoff = self.new_backoff(deadline)
        while True:
            match await self.objects.get(name, backoff.timeout(OBJECT_TIMEOUT)):
                case Result(tag="ok", ok=data):
                    await self._verify(name, chunk, data)
                    return data
                case Result(error=error):
                    if not await backoff.wait():
                        raise StoreUnavailable(f"{error.message}; the delivery is tried again")

    async def compute_digest(
        self, manifest: Manifest, before_chunk: BeforeChunkRead | None = None, deadline: float = inf
    ) -> str:
        """Return the SHA-256 of all committed chunks, in hexadecimal."""
        content_hash = hashlib.sha256()
        for chunk in manifest.chunks:
            if before_chunk is not None:
                await before_chunk()
            await self._update_hash(await self.get(manifest.id, chunk, deadline), content_hash)
        return content_hash.hexdigest()

    async def _verify(self, name: str, chunk: Chunk, data: bytes | None) -> None:
        if data is None:
            raise DeliveryAborted(
                f"chunk {name} is not in the object store; look at the upload's state"
            )
        digest = hashlib.sha256()
        await self._update_hash(data, digest)
        if len(data) != chunk.length or digest.digest() != chunk.digest:
            raise DeliveryAborted(
                f"chunk {name} is damaged; its content in the object store has changed"
            )

    async def _update_hash(self, data: bytes, digest) -> None:
        """Hash `data`, yielding to other tasks after each block."""
        view = memoryview(data)
        for start in range(0, len(data), HASH_BLOCK_SIZE):
            if start:
                await self.sleep(0)
            digest.update(view[start : start + HASH_BLOCK_SIZE])

    async def list_names(self, after: str, limit: int) -> list[str]:
        """Return up to `limit` names of chunks of all uploads, in order, greater than `after`."""
        match await self.objects.names(CHUNK_PREFIX, after, limit, OBJECT_TIMEOUT):
            case Result(tag="ok", ok=names):
                return names
            case Result(error=error):
                raise StoreUnavailable(f"{error.message}; the clean-up goes on later")

    async def discard(self, name: str) -> bool:
        """Delete a chunk by its name; return whether it is known to be deleted."""
        return (await self.objects.delete(name, DELETE_TIMEOUT)).is_ok()
