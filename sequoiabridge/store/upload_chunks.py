"""Chunks of an upload: cut from a caller's body, put in the object store, read back whole."""

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
"""Seconds for one call to the object store."""

DELETE_TIMEOUT = 5.0
"""Seconds for one removal, which waits for all other writes; the clean-up tries again."""


HASH_BLOCK_SIZE = 256 * 1024
"""Bytes hashed in one go; other tasks run in between."""


BeforeChunkRead = Callable[[], Awaitable[None]]
"""Called before each chunk that is read back."""


class DeliveryAborted(CallerGone):
    """A delivery's body ended early: a chunk is missing or damaged, or the lease was lost."""


class Piece:
    """Bytes cut from a body, and their SHA-256."""

    __slots__ = ("data", "digest")

    def __init__(self, data: bytes, digest: bytes):
        self.data = data
        self.digest = digest


class BodyChunker:
    """Cuts a body into pieces of a given size; holds one piece at a time.

    Hashes bytes as they come and lets other tasks run between steps: a body that comes faster
    than it is hashed would hold up all other calls, for a read that does not wait never yields.

    Attributes:
        whole: SHA-256 of everything that was taken.
        gone: Why the body was cut short (caller left, or was too slow), once it was.
    """

    __slots__ = ("body", "sleep", "unread", "body_hash", "read_error", "bytes_since_yield")

    def __init__(self, body: Body | None, sleep=curio.sleep):
        self.body = body
        self.sleep = sleep
        self.bytes_since_yield = 0
        self.unread = b""
        self.body_hash = hashlib.sha256()
        self.read_error: CallerGone | Refusal | None = None

    async def next_piece(self, size: int) -> Piece:
        """Return the next `size` bytes; fewer only at the end or when `gone` is set."""
        parts, missing, digest = [], size, hashlib.sha256()
        while missing:
            data = self.unread or await self._read()
            if not data:
                break
            part, self.unread = data[:missing], data[missing:]
            digest.update(part)
            self.body_hash.update(part)
            parts.append(part)
            missing -= len(part)
        return Piece(b"".join(parts), digest.digest())

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
    """Puts and reads chunks; a lost answer is settled by the name, which is written only once."""

    def __init__(
        self, objects: ObjectStore, new_backoff: Callable[[float], RetryBackoff], sleep=curio.sleep
    ):
        self.objects = objects
        self.new_backoff = new_backoff
        self.sleep = sleep

    async def put(self, upload: str, chunk: Chunk, data: bytes, deadline: float = inf) -> None:
        """Store a chunk. Raises `StoreUnavailable` if it is not known to be stored in time."""
        name = chunk_name(upload, chunk)
        backoff = self.new_backoff(deadline)
        while True:
            match await self.objects.put(name, data, backoff.timeout(OBJECT_TIMEOUT)):
                case Result(tag="ok"):
                    return
                case Result(error=error):
                    # The name is this writer's alone: if it is taken, an earlier try took effect.
                    if error.kind is StoreErrorKind.CONDITION_FAILED:
                        return
                    if not await backoff.wait():
                        raise StoreUnavailable(f"{error.message}; resume the upload later")

    async def get(self, upload: str, chunk: Chunk, deadline: float = inf) -> bytes:
        """Return a chunk's bytes, checked. Raises `UploadCut` if it is missing or damaged."""
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
        """Hash in steps, so that calls are not held up by a whole chunk."""
        view = memoryview(data)
        for start in range(0, len(data), HASH_BLOCK_SIZE):
            if start:
                await self.sleep(0)
            digest.update(view[start : start + HASH_BLOCK_SIZE])

    async def list_names(self, after: str, limit: int) -> list[str]:
        """Return up to `limit` names of chunks of all uploads, in order, over `after`."""
        match await self.objects.names(CHUNK_PREFIX, after, limit, OBJECT_TIMEOUT):
            case Result(tag="ok", ok=names):
                return names
            case Result(error=error):
                raise StoreUnavailable(f"{error.message}; the clean-up goes on later")

    async def discard(self, name: str) -> bool:
        """Remove a chunk by its name; return whether it is known to be gone."""
        return (await self.objects.delete(name, DELETE_TIMEOUT)).is_ok()
