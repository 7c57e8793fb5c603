"""Spools uploads: stores their bodies in chunks and accepts each by one commit.

The caller gets an acceptance only after the accepting transaction is known to be committed.
`store.upload_delivery` delivers accepted uploads to upstreams.
"""

import secrets
from collections import Counter
from collections.abc import Callable

import curio

from ..component import Component
from ..timers import Clock
from .base import ObjectStore, TableService
from .upload_chunks import BodyChunker, ChunkStore
from .upload_index import HELD_PREFIX, OPEN_PREFIX, WORK_PREFIX, UploadEntry
from .upload_manifest import (
    Manifest,
    Stamp,
    UploadConflict,
    UploadKeyReused,
    UploadState,
    UploadUnknown,
    keyed_id,
    release_failed,
    take_over,
)
from .upload_table import ManifestTable, RetryBackoff, VersionedManifest
from .upload_writer import IncomingUpload, UploadResult, UploadWriter, compare_body

CHUNK_SIZE = 4 << 20
"""Default size of a chunk in bytes."""

CHUNKS_PER_COMMIT = 4
"""Default number of chunks that are committed together."""

COMMIT_INTERVAL = 10.0
"""Maximum seconds between commits while stored chunks are pending."""

START_RETRY_TIMEOUT = 1.0
"""Seconds for which store calls outside of a running upload are retried."""

RETRY_TIMEOUT = 30.0
"""Seconds for which store calls of a running upload are retried before it is refused.

The caller's deadline may end the retries earlier. The caller can resume the upload.
"""

EXCLUSIVE_SECONDS = 5.0
"""Seconds after the acceptance during which only the accepting VM may deliver."""


NONCE_BYTES = 12
"""Random bytes in tokens, names of chunks and generated ids."""


def _random_token() -> str:
    return secrets.token_hex(NONCE_BYTES)


class Uploads(Component):
    """Receives, looks up, lists and releases uploads.

    Attributes:
        receiving_count: Number of requests in progress.
        progress: Bytes stored of each upload that is being received here, by id.
        counts: Requests by result, and chunks stored.
    """

    name = "uploads"

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        vm_name: str,
        *,
        chunk_size: int = CHUNK_SIZE,
        chunks_per_commit: int = CHUNKS_PER_COMMIT,
        commit_interval: float = COMMIT_INTERVAL,
        retry_timeout: float = RETRY_TIMEOUT,
        exclusive_seconds: float = EXCLUSIVE_SECONDS,
        new_token: Callable[[], str] = _random_token,
        sleep=curio.sleep,
    ):
        self.clock = clock
        self.vm_name = vm_name
        self.chunk_size = chunk_size
        self.chunks_per_commit = chunks_per_commit
        self.commit_interval = commit_interval
        self.retry_timeout = retry_timeout
        self.exclusive_seconds = exclusive_seconds
        self.new_token = new_token
        self.table = ManifestTable(tables, clock, sleep)
        self.chunks = ChunkStore(objects, self._new_backoff, sleep)
        self.receiving_count = 0
        self.progress: dict[str, int] = {}
        self.counts: Counter[str] = Counter()

    @property
    def idle(self) -> bool:
        """Whether no upload is being received; a planned stop waits for it."""
        return self.receiving_count == 0

    def new_stamp(self) -> Stamp:
        """Return the wall time and a new token for one change."""
        return Stamp(self.clock.wall(), self.new_token())

    def _new_backoff(self, deadline: float) -> RetryBackoff:
        return RetryBackoff(self.clock, self.table.sleep, self.retry_timeout, deadline)

    async def receive(self, incoming: IncomingUpload) -> UploadResult:
        """Start, resume or look up an upload.

        Raises:
            StoreUnavailable: Nothing was accepted; the caller may resume.
            AcceptanceUnknown: The upload may or may not be accepted; the caller may look it up.
            UploadConflict: The upload was changed concurrently, or the offset does not fit.
            UploadKeyReused: The request differs from the upload of this key or id.
            UploadUnknown: The caller has no such upload.
            UploadTooLarge: The upload exceeds the size limit of its rule.
            CallerGone: The body ended early; stored chunks are kept so that it can be resumed.
        """
        self.receiving_count += 1
        try:
            received = await self._receive(incoming)
        finally:
            self.receiving_count -= 1
        self.counts["replayed" if received.replayed else received.state.value] += 1
        return received

    async def list_undelivered(self, limit: int) -> list[UploadEntry]:
        """Return up to `limit` undelivered uploads: held, then accepted, then open ones."""
        found: list[UploadEntry] = []
        for prefix in (HELD_PREFIX, WORK_PREFIX, OPEN_PREFIX):
            rows = await self.table.list_entries(prefix, "", limit - len(found))
            found += [entry for _, entry in rows]
            if len(found) >= limit:
                break
        return found

    async def get_manifest(self, upload: str) -> Manifest | None:
        """Return the manifest of an upload, or None."""
        current = await self.table.read(upload)
        return current.manifest if current else None

    async def release(self, upload: str) -> Manifest:
        """Make an upload that is held as failed due for delivery again."""
        current = await self.table.read(upload)
        if current is None:
            raise UploadUnknown(f"no upload {upload}; list the uploads for its id")
        manifest = release_failed(current.manifest, self.new_stamp())
        return (await self.table.update(current, manifest, START_RETRY_TIMEOUT)).manifest

    def dump(self) -> dict:
        """Return the uploads that are being received here, and counts since the start."""
        progress = dict(list(self.progress.items())[:20])
        return {"receiving": self.receiving_count, "stored": progress, "counts": dict(self.counts)}

    async def _receive(self, incoming: IncomingUpload) -> UploadResult:
        if incoming.upload_id is None:
            current = await self._start_new(incoming)
        else:
            current = await self._read_existing(incoming)
            if incoming.offset is None:
                return UploadResult(current.manifest)
            current = await self._take_over(current, incoming)
        if current.manifest.state is not UploadState.OPEN:
            return await self._answer_replay(current.manifest, incoming)
        try:
            return await UploadWriter(self, current, incoming).run()
        finally:
            self.progress.pop(current.manifest.id, None)

    async def _start_new(self, incoming: IncomingUpload) -> VersionedManifest:
        manifest = self._new_manifest(incoming)
        try:
            return await self.table.insert(manifest, START_RETRY_TIMEOUT, incoming.deadline)
        except UploadConflict:
            current = await self.table.read(manifest.id, START_RETRY_TIMEOUT, incoming.deadline)
        if current is None:
            raise UploadConflict("an upload of this key has just ended; send it again")
        return await self._take_over(current, incoming)

    def _new_manifest(self, incoming: IncomingUpload) -> Manifest:
        stamp = self.new_stamp()
        key = incoming.key
        upload = keyed_id(incoming.service, incoming.caller, key) if key else self.new_token()
        return Manifest(
            id=upload,
            service=incoming.service,
            caller=incoming.caller,
            method=incoming.method,
            target=incoming.target,
            headers=tuple(incoming.headers),
            length=incoming.length,
            created=stamp.now,
            updated=stamp.now,
            token=stamp.token,
        )

    async def _read_existing(self, incoming: IncomingUpload) -> VersionedManifest:
        current = await self.table.read(incoming.upload_id, START_RETRY_TIMEOUT, incoming.deadline)
        scope = (incoming.service, incoming.caller)
        if current is None or (current.manifest.service, current.manifest.caller) != scope:
            raise UploadUnknown(f"no upload {incoming.upload_id} of this caller; start a new one")
        return current

    async def _take_over(
        self, current: VersionedManifest, incoming: IncomingUpload
    ) -> VersionedManifest:
        """Make this request the writer of an unaccepted upload, so that earlier writers fail."""
        manifest = current.manifest
        check_offset(manifest, incoming.offset or 0)
        check_same_request(manifest, incoming)
        if manifest.state not in (UploadState.OPEN, UploadState.ABANDONED):
            return current
        next_manifest = take_over(manifest, self.new_stamp())
        return await self.table.update(
            current, next_manifest, START_RETRY_TIMEOUT, incoming.deadline
        )

    async def _answer_replay(self, manifest: Manifest, incoming: IncomingUpload) -> UploadResult:
        """Return the result for an upload that was accepted before, after comparing the content."""
        if not incoming.digest or incoming.digest != manifest.digest:
            chunker = BodyChunker(incoming.body, self.chunks.sleep)
            await compare_body(chunker, manifest, incoming.offset or 0)
            surplus = await chunker.next_piece(1)
            if chunker.read_error is not None:
                raise chunker.read_error
            if surplus.data:
                raise UploadKeyReused(f"the body is longer than upload {manifest.id}; new key")
        return UploadResult(manifest, replayed=True)


def check_same_request(manifest: Manifest, incoming: IncomingUpload) -> None:
    """Raise `UploadKeyReused` if the method, target or length differ from the upload's."""
    same = (manifest.method, manifest.target) == (incoming.method, incoming.target)
    total = incoming.total_length
    if not same or (None not in (total, manifest.length) and total != manifest.length):
        raise UploadKeyReused(
            f"upload {manifest.id} has another method, target or length; use another key"
        )


def check_offset(manifest: Manifest, start: int) -> None:
    """Raise `UploadConflict` unless `start` is the start of a chunk or the end of the last one."""
    if start != manifest.size and all(chunk.offset != start for chunk in manifest.chunks):
        raise UploadConflict(f"the next byte of upload {manifest.id} is {manifest.size}; resume it")
