"""Rows and object names of uploads: manifests, index entries and chunks.

The index has one entry for each manifest, under a prefix for its state, written by the same
transaction. It serves to list uploads without reading manifests; decisions use the manifest.
"""

import msgspec

from .base import Write
from .upload_manifest import Chunk, Manifest, UploadState

MANIFEST_TABLE = "uploads"
"""Table of manifests by id."""

INDEX_TABLE = "uploads-index"
"""Table of index entries by prefix and id."""

OPEN_PREFIX = "open/"
WORK_PREFIX = "work/"
HELD_PREFIX = "held/"
DONE_PREFIX = "done/"

STATE_PREFIXES = {
    UploadState.OPEN: OPEN_PREFIX,
    UploadState.ACCEPTED: WORK_PREFIX,
    UploadState.DELIVERING: WORK_PREFIX,
    UploadState.FAILED: HELD_PREFIX,
    UploadState.DELIVERED: DONE_PREFIX,
    UploadState.ABANDONED: DONE_PREFIX,
}

CHUNK_PREFIX = "uploads/"
"""Prefix of the names of all chunks."""

DIGITS = 20
"""Digits to which numbers in chunk names are padded, so that names sort numerically."""


class UploadEntry(msgspec.Struct, frozen=True):
    """Index entry of an upload, also shown to operators; see `Manifest` for the fields."""

    id: str
    service: str
    caller: str
    state: UploadState
    size: int
    length: int | None
    created: float
    holder: str
    due: float
    attempts: int
    sent: int
    error: str
    crashed: tuple[str, ...] = ()


def index_entry(manifest: Manifest) -> UploadEntry:
    """Return the index entry for a manifest."""
    return UploadEntry(
        id=manifest.id,
        service=manifest.service,
        caller=manifest.caller,
        state=manifest.state,
        size=manifest.size,
        length=manifest.length,
        created=manifest.created,
        holder=manifest.holder,
        due=manifest.due,
        attempts=manifest.attempts,
        sent=manifest.sent,
        error=manifest.error,
        crashed=manifest.crashed,
    )


def index_key(manifest: Manifest) -> str:
    """Return the key of a manifest's index entry."""
    return STATE_PREFIXES[manifest.state] + manifest.id


def manifest_writes(before: Manifest | None, after: Manifest) -> list[Write]:
    """Return the writes that replace manifest `before` by `after`, and its index entry.

    The index entry of an open upload is not rewritten when only chunks are added.
    """
    rows = [Write(MANIFEST_TABLE, after.id, msgspec.msgpack.encode(after))]
    key = index_key(after)
    if before is not None and index_key(before) != key:
        rows.append(Write(INDEX_TABLE, index_key(before), None))
    if before is None or index_key(before) != key or after.state is not UploadState.OPEN:
        rows.append(Write(INDEX_TABLE, key, msgspec.msgpack.encode(index_entry(after))))
    return rows


def removal_writes(manifest: Manifest) -> list[Write]:
    """Return the writes that remove a manifest and its index entry."""
    return [Write(MANIFEST_TABLE, manifest.id, None), Write(INDEX_TABLE, index_key(manifest), None)]


def chunk_name(upload: str, chunk: Chunk) -> str:
    """Return the object name of a chunk, unique to one writer and its epoch."""
    return f"{CHUNK_PREFIX}{upload}/{chunk.epoch:0{DIGITS}}/{chunk.offset:0{DIGITS}}-{chunk.nonce}"


def parse_chunk_name(name: str) -> tuple[str, int] | None:
    """Return upload id and epoch from a chunk's name, or None if it is not a chunk name."""
    parts = name.removeprefix(CHUNK_PREFIX).split("/")
    if not name.startswith(CHUNK_PREFIX) or len(parts) != 3 or not parts[1].isdecimal():
        return None
    return parts[0], int(parts[1])


def is_orphan(name: str, epoch: int, manifest: Manifest | None) -> bool:
    """Return whether a chunk is unused and can no longer be committed.

    `manifest` must have been read after the name was listed. A writer inserts its manifest before
    its first chunk, so without a manifest the upload was removed. A chunk of the current epoch
    of an open upload may still be committed, whatever its age.
    """
    if manifest is None or manifest.state is UploadState.DELIVERED:
        return True
    if epoch > manifest.epoch:
        return False
    if manifest.state is UploadState.OPEN and epoch == manifest.epoch:
        return False
    return all(chunk_name(manifest.id, chunk) != name for chunk in manifest.chunks)
