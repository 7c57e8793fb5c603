"""Writes the body of one request into an upload: stores and commits chunks, then accepts it."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import curio

from ..exceptions import StoreUnavailable
from ..pipeline.exchange import Body, RawHeaders
from .upload_chunks import BodyChunker, Piece
from .upload_manifest import (
    Chunk,
    Manifest,
    UploadConflict,
    UploadKeyReused,
    UploadState,
    UploadTooLarge,
    accept,
    append_chunks,
)
from .upload_table import AcceptanceUnknown, CommitUnknown, VersionedManifest

if TYPE_CHECKING:
    from .uploads import Uploads

FINAL_COMMIT_TIMEOUT = 1.0
"""Seconds for which the commit of stored chunks is retried after the caller has left."""


class IncomingUpload:
    """A request of a caller to start, resume or look up an upload.

    Attributes:
        key: The caller's `Idempotency-Key`, or None.
        length: Size of this body in bytes, or None if it is chunked.
        upload_id: Id of an existing upload, or None to start one.
        offset: Offset in the upload at which this body begins; None to start or look up one.
        digest: SHA-256 of the whole upload in hexadecimal if the caller sent it, or "".
        max_size: Maximum size of the whole upload in bytes, 0 for no limit.
        deadline: Deadline of the caller, on the daemon's monotonic clock. It limits waits for a
            store that does not answer, not the duration of the upload.
    """

    __slots__ = (
        "service",
        "caller",
        "key",
        "method",
        "target",
        "headers",
        "body",
        "length",
        "upload_id",
        "offset",
        "digest",
        "max_size",
        "deadline",
    )

    def __init__(
        self,
        service: str,
        caller: str,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: Body | None,
        length: int | None,
        *,
        key: str | None = None,
        upload_id: str | None = None,
        offset: int | None = None,
        digest: str = "",
        max_size: int = 0,
        deadline: float = inf,
    ):
        self.service = service
        self.caller = caller
        self.key = key
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.length = length
        self.upload_id = upload_id
        self.offset = offset
        self.digest = digest
        self.max_size = max_size
        self.deadline = deadline

    @property
    def total_length(self) -> int | None:
        """Size in bytes of the whole upload, or None if this request does not say."""
        return None if self.length is None else (self.offset or 0) + self.length


class UploadResult:
    """Result of a request for an upload.

    Attributes:
        offset: Offset of the next expected byte.
        replayed: Whether the upload had been accepted by an earlier request.
    """

    __slots__ = ("id", "state", "offset", "digest", "replayed", "error")

    def __init__(self, manifest: Manifest, replayed: bool = False):
        self.id = manifest.id
        self.state = manifest.state
        self.offset = manifest.size
        self.digest = manifest.digest
        self.error = manifest.error
        self.replayed = replayed


class UploadWriter:
    """Writes a caller's body into an upload, as the writer of its current epoch.

    Keeps one chunk in memory. Either accepts the upload or raises; chunks stored until then are
    committed if possible, so that the caller can resume.
    """

    def __init__(self, uploads: Uploads, current: VersionedManifest, incoming: IncomingUpload):
        self.uploads = uploads
        self.current = current
        self.incoming = incoming
        self.chunker = BodyChunker(incoming.body, uploads.chunks.sleep, incoming.length)
        self.start_offset = incoming.offset or 0
        self.pending: list[Chunk] = []
        self.last_commit_at = uploads.clock.now()

    @property
    def offset(self) -> int:
        """Offset of the next expected byte, after stored chunks that are not committed yet."""
        last = self.pending[-1] if self.pending else None
        return last.offset + last.length if last else self.current.manifest.size

    async def run(self) -> UploadResult:
        """Write the whole body and accept the upload."""
        await compare_body(self.chunker, self.current.manifest, self.start_offset)
        try:
            return await self._write_all()
        except curio.CancelledError:
            # The caller disconnected while this task waited for the store.
            async with curio.disable_cancellation():
                await self._try_commit(FINAL_COMMIT_TIMEOUT)
            raise

    async def _write_all(self) -> UploadResult:
        more = True
        while more:
            more = await self._write_chunk()
            if more and self._is_commit_due():
                await self._commit(self.uploads.retry_timeout)
        return await self._accept()

    async def _write_chunk(self) -> bool:
        piece = await self.chunker.next_piece(self.uploads.chunk_size)
        if piece.data:
            self._check_size(len(piece.data))
            await self._store_piece(piece)
        if self.chunker.read_error is not None:
            await self._try_commit(self.uploads.retry_timeout)
            raise self.chunker.read_error
        return len(piece.data) == self.uploads.chunk_size

    async def _store_piece(self, piece: Piece) -> None:
        chunk = Chunk(
            epoch=self.current.manifest.epoch,
            offset=self.offset,
            length=len(piece.data),
            digest=piece.digest,
            nonce=self.uploads.new_token(),
        )
        await self.uploads.chunks.put(
            self.current.manifest.id, chunk, piece.data, self.incoming.deadline
        )
        self.pending.append(chunk)
        self.uploads.progress[self.current.manifest.id] = self.offset
        self.uploads.counts["chunks"] += 1

    def _check_size(self, added: int) -> None:
        limit = self.incoming.max_size
        if limit and self.offset + added > limit:
            raise UploadTooLarge(f"the upload is over {limit} bytes; split it")

    def _is_commit_due(self) -> bool:
        since_commit = self.uploads.clock.now() - self.last_commit_at
        return len(self.pending) >= self.uploads.chunks_per_commit or (
            bool(self.pending) and since_commit >= self.uploads.commit_interval
        )

    async def _commit(self, retry_timeout: float) -> None:
        stamp = self.uploads.new_stamp()
        manifest = append_chunks(self.current.manifest, self.pending, stamp)
        self.current = await self.uploads.table.update(
            self.current, manifest, retry_timeout, self.incoming.deadline
        )
        self.pending = []
        self.last_commit_at = self.uploads.clock.now()

    async def _try_commit(self, retry_timeout: float) -> None:
        if not self.pending:
            return
        try:
            await self._commit(retry_timeout)
        except (StoreUnavailable, UploadConflict):
            # The caller resumes from what is committed.
            return

    async def _accept(self) -> UploadResult:
        digest = await self._content_digest()
        manifest = accept(
            self.current.manifest,
            self.pending,
            digest,
            self.uploads.vm_name,
            self.uploads.exclusive_seconds,
            self.uploads.new_stamp(),
        )
        try:
            self.current = await self.uploads.table.update(
                self.current, manifest, self.uploads.retry_timeout, self.incoming.deadline
            )
        except UploadConflict:
            self.current = await self._read_accepted(manifest)
        except CommitUnknown as error:
            raise AcceptanceUnknown(str(error)) from error
        return UploadResult(self.current.manifest)

    async def _content_digest(self) -> str:
        """Return the SHA-256 of the upload, or "" for a resumed one without an announced digest."""
        announced = self.incoming.digest
        digest = self.chunker.body_hash.hexdigest() if self.start_offset == 0 else ""
        if announced and not digest:
            if self.pending:
                await self._commit(self.uploads.retry_timeout)
            digest = await self.uploads.chunks.compute_digest(
                self.current.manifest, deadline=self.incoming.deadline
            )
        if announced and announced != digest:
            raise UploadKeyReused(f"the content has digest {digest}, not {announced}; send it anew")
        return digest

    async def _read_accepted(self, manifest: Manifest) -> VersionedManifest:
        """Return the manifest if it was accepted and a deliverer has changed it since."""
        retry_timeout, deadline = self.uploads.retry_timeout, self.incoming.deadline
        try:
            latest = await self.uploads.table.read(manifest.id, retry_timeout, deadline)
        except StoreUnavailable as error:
            raise AcceptanceUnknown(str(error)) from error
        if (
            latest is not None
            and latest.manifest.epoch == manifest.epoch
            and latest.manifest.state not in (UploadState.OPEN, UploadState.ABANDONED)
        ):
            return latest
        raise UploadConflict(f"upload {manifest.id} was taken over; ask for its offset and resume")


async def compare_body(chunker: BodyChunker, manifest: Manifest, start: int) -> None:
    """Compare a body that begins at offset `start` with the digests of the committed chunks.

    Raises `UploadKeyReused` if they differ. `start` must be the start of a chunk or the end of the
    last one.
    """
    for chunk in manifest.chunks:
        if chunk.offset < start:
            continue
        piece = await chunker.next_piece(chunk.length)
        if chunker.read_error is not None:
            raise chunker.read_error
        if piece.digest != chunk.digest:
            raise UploadKeyReused(f"the body differs from upload {manifest.id}; use another key")
