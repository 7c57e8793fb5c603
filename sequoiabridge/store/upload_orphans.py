"""Cleans up abandoned uploads, expired records of finished ones, and orphaned chunks.

A chunk is deleted only when no commit can refer to it any more (`is_orphan`), whatever its age.
Age decides when an unaccepted upload is abandoned and when a finished one is removed; both are
conditional commits, so they conflict with a concurrent writer.
"""

from ..component import Component
from ..exceptions import StoreUnavailable
from ..logs import get_log
from .upload_delivery import RETENTION_SECONDS
from .upload_index import (
    CHUNK_PREFIX,
    DONE_PREFIX,
    OPEN_PREFIX,
    UploadEntry,
    is_orphan,
    parse_chunk_name,
)
from .upload_manifest import Manifest, UploadConflict, UploadState, abandon
from .uploads import Uploads

log = get_log("orphans")

BATCH_SIZE = 50
"""Maximum number of chunk names, and of index entries of each prefix, processed in one step."""

ABANDON_AFTER_SECONDS = 86400.0
"""Seconds without a commit after which an unaccepted upload is abandoned."""


class UploadCleaner(Component):
    """Abandons stale uploads and removes finished ones and orphaned chunks, a batch at a time."""

    name = "orphans"

    def __init__(
        self,
        uploads: Uploads,
        *,
        batch_size: int = BATCH_SIZE,
        abandon_after: float = ABANDON_AFTER_SECONDS,
        retention: float = RETENTION_SECONDS,
    ):
        self.uploads = uploads
        self.batch_size = batch_size
        self.abandon_after = abandon_after
        self.retention = retention
        self.cursors = {OPEN_PREFIX: "", DONE_PREFIX: "", CHUNK_PREFIX: ""}
        self.deleted_chunks = 0
        self.abandoned_uploads = 0

    async def step(self, now: float) -> None:
        """Process the next batch of each kind. Called periodically; `now` is wall time."""
        try:
            await self._abandon_stale(now)
            await self._remove_finished(now)
            await self._delete_orphan_chunks()
        except StoreUnavailable as error:
            log.debug("Clean-up of uploads is postponed: %s.", error)

    def dump(self) -> dict:
        """Return counts of what was cleaned up since the start."""
        return {"chunks_removed": self.deleted_chunks, "uploads_abandoned": self.abandoned_uploads}

    async def _abandon_stale(self, now: float) -> None:
        for entry in await self._next_entries(OPEN_PREFIX):
            if entry.created + self.abandon_after > now:
                continue
            current = await self.uploads.table.read(entry.id)
            if current is None or not self._is_stale(current.manifest, now):
                continue
            change = abandon(current.manifest, self.retention, self.uploads.new_stamp())
            try:
                await self.uploads.table.update(current, change)
            except UploadConflict:
                continue
            self.abandoned_uploads += 1
            log.info("Upload %s was never completed and is abandoned.", entry.id)

    def _is_stale(self, manifest: Manifest, now: float) -> bool:
        return manifest.state is UploadState.OPEN and manifest.updated + self.abandon_after <= now

    async def _remove_finished(self, now: float) -> None:
        for entry in await self._next_entries(DONE_PREFIX):
            if entry.due > now:
                continue
            current = await self.uploads.table.read(entry.id)
            if (
                current is not None
                and current.manifest.due <= now
                and _is_finished(current.manifest)
            ):
                await self.uploads.table.remove(current)

    async def _delete_orphan_chunks(self) -> None:
        names = await self._next_names()
        # `is_orphan` requires that manifests are read after the names were listed.
        manifests: dict[str, Manifest | None] = {}
        for name in names:
            owner = parse_chunk_name(name)
            if owner is None:
                continue
            upload, epoch = owner
            if upload not in manifests:
                manifests[upload] = await self.uploads.get_manifest(upload)
            if is_orphan(name, epoch, manifests[upload]) and await self.uploads.chunks.discard(
                name
            ):
                self.deleted_chunks += 1

    async def _next_names(self) -> list[str]:
        names = await self.uploads.chunks.list_names(self.cursors[CHUNK_PREFIX], self.batch_size)
        self.cursors[CHUNK_PREFIX] = names[-1] if len(names) == self.batch_size else ""
        return names

    async def _next_entries(self, prefix: str) -> list[UploadEntry]:
        rows = await self.uploads.table.list_entries(prefix, self.cursors[prefix], self.batch_size)
        self.cursors[prefix] = rows[-1][0] if len(rows) == self.batch_size else ""
        return [entry for _, entry in rows]


def _is_finished(manifest: Manifest) -> bool:
    return manifest.state in (UploadState.DELIVERED, UploadState.ABANDONED)
