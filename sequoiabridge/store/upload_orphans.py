"""Clean-up of uploads: abandoned ones, remembered ones past their time, chunks of no use.

A chunk is removed only when fencing proves that no commit can name it any more (`is_dead`). Age
decides only when an upload that was never accepted is given up, and when a finished one is
forgotten; both are conditional commits that a live writer wins or notices.
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

BATCH = 50
"""Names and entries looked at in one step."""

ABANDON_AFTER = 86400.0
"""Seconds without a commit after which an upload that was not accepted is given up."""


class UploadCleaner(Component):
    """Removes what no upload needs, a bounded batch at a time."""

    name = "orphans"

    def __init__(
        self,
        uploads: Uploads,
        *,
        batch: int = BATCH,
        abandon_after: float = ABANDON_AFTER,
        retention: float = RETENTION_SECONDS,
    ):
        self.uploads = uploads
        self.batch = batch
        self.abandon_after = abandon_after
        self.retention = retention
        self.cursors = {OPEN_PREFIX: "", DONE_PREFIX: "", CHUNK_PREFIX: ""}
        self.removed = 0
        self.abandoned = 0

    async def step(self, now: float) -> None:
        """Look at the next batch of each kind; `now` is wall time. Called each minute or so."""
        try:
            await self._abandon(now)
            await self._forget(now)
            await self._sweep()
        except StoreUnavailable as error:
            log.debug("Clean-up waits: %s.", error)

    def dump(self) -> dict:
        """Describe what was cleaned up since the start."""
        return {"chunks_removed": self.removed, "uploads_abandoned": self.abandoned}

    async def _abandon(self, now: float) -> None:
        for entry in await self._entries(OPEN_PREFIX):
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
            self.abandoned += 1
            log.info("Upload %s was never finished and is given up.", entry.id)

    def _is_stale(self, manifest: Manifest, now: float) -> bool:
        return manifest.state is UploadState.OPEN and manifest.updated + self.abandon_after <= now

    async def _forget(self, now: float) -> None:
        for entry in await self._entries(DONE_PREFIX):
            if entry.due > now:
                continue
            current = await self.uploads.table.read(entry.id)
            if current is not None and current.manifest.due <= now and _is_done(current.manifest):
                await self.uploads.table.remove(current)

    async def _sweep(self) -> None:
        names = await self._names()
        # The manifests are read after the names were listed: `is_dead` depends on it.
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
                self.removed += 1

    async def _names(self) -> list[str]:
        names = await self.uploads.chunks.list_names(self.cursors[CHUNK_PREFIX], self.batch)
        self.cursors[CHUNK_PREFIX] = names[-1] if len(names) == self.batch else ""
        return names

    async def _entries(self, prefix: str) -> list[UploadEntry]:
        rows = await self.uploads.table.list_entries(prefix, self.cursors[prefix], self.batch)
        self.cursors[prefix] = rows[-1][0] if len(rows) == self.batch else ""
        return [entry for _, entry in rows]


def _is_done(manifest: Manifest) -> bool:
    return manifest.state in (UploadState.DELIVERED, UploadState.ABANDONED)
