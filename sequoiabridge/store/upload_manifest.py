"""The state machine of one spooled upload: its manifest and the changes that it allows.

Pure: time, tokens and random numbers are arguments. Each change returns a new manifest, to be
committed by a transaction on the version of the row that it was made from. Only that commit
counts: a chunk in the object store means nothing until a manifest names it, and the chunks of a
late writer are ignored (docs/design/uploads.md names the source).
"""

from __future__ import annotations

import hashlib
from enum import Enum
from random import Random

import msgspec
from msgspec.structs import replace

from ..exceptions import SequoiaError

MAX_CRASHED_UPSTREAMS = 2
"""Upstreams that may die while they have an upload; then it is held for the operator."""

BACKOFF_BASE = 1.0
"""Seconds until the second attempt at a delivery; doubled for each one after it."""

BACKOFF_CAP = 300.0
"""Seconds that a delivery waits at most between two attempts."""


class UploadConflict(SequoiaError):
    """Another writer, deliverer or request came first, or the offset does not fit."""


class UploadKeyReused(SequoiaError):
    """The key names an upload with other content, length or target."""


class UploadUnknown(SequoiaError):
    """There is no upload of this id for this caller."""


class UploadTooLarge(SequoiaError):
    """The upload is larger than its rule allows."""


class UploadState(Enum):
    """How far an upload has come; `FAILED` is held with its content for the operator."""

    OPEN = "open"
    ACCEPTED = "accepted"
    DELIVERING = "delivering"
    DELIVERED = "delivered"
    FAILED = "failed"
    ABANDONED = "abandoned"


DELIVERABLE_STATES = (UploadState.ACCEPTED, UploadState.DELIVERING)
"""States of an upload that is to be delivered."""


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A stored piece of an upload; `digest` is its SHA-256, `nonce` makes its name unique."""

    epoch: int
    offset: int
    length: int
    digest: bytes
    nonce: str


class Manifest(msgspec.Struct, frozen=True):
    """One upload as the table service knows it; times are wall time in seconds.

    Attributes:
        headers: Fields that are passed on to the upstream.
        length: Size that the caller announced, or None if it did not.
        token: Unique to the change that wrote this row; settles a lost answer.
        epoch: Counts the writers; only the newest can commit.
        digest: SHA-256 of the whole in hexadecimal, or "" while it is not known.
        holder: VM that accepted it or delivers it.
        due: When the lease of the holder lapses, or the next attempt or clean-up is due.
        sent: Bytes that the present delivery has sent, as last recorded.
        error: Why the last delivery failed.
        crashed: Upstreams that died while they had it, since it was accepted or last released.
    """

    id: str
    service: str
    caller: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    length: int | None
    created: float
    updated: float
    token: str
    epoch: int = 1
    chunks: tuple[Chunk, ...] = ()
    state: UploadState = UploadState.OPEN
    digest: str = ""
    holder: str = ""
    due: float = 0.0
    attempts: int = 0
    sent: int = 0
    error: str = ""
    crashed: tuple[str, ...] = ()

    @property
    def size(self) -> int:
        """Bytes that are committed; the offset at which a writer goes on."""
        return self.chunks[-1].offset + self.chunks[-1].length if self.chunks else 0


class Stamp:
    """When and under which token a change is made."""

    __slots__ = ("now", "token")

    def __init__(self, now: float, token: str):
        self.now = now
        self.token = token


def keyed_id(service: str, caller: str, key: str) -> str:
    """Return the id of the upload that `caller` names by `key`; the same on every VM."""
    scope = msgspec.msgpack.encode((service, caller, key))
    return hashlib.sha256(scope).hexdigest()[:32]


def take_over(manifest: Manifest, stamp: Stamp) -> Manifest:
    """Begin a new epoch for a new writer; commits of the older writers fail from then on."""
    _require_state(manifest, UploadState.OPEN, UploadState.ABANDONED)
    epoch = manifest.epoch + 1
    return _change(manifest, stamp, epoch=epoch, state=UploadState.OPEN, due=0.0)


def append_chunks(manifest: Manifest, chunks: list[Chunk], stamp: Stamp) -> Manifest:
    """Add chunks of the present epoch that are in the object store and follow on."""
    _require_state(manifest, UploadState.OPEN)
    offset = manifest.size
    for chunk in chunks:
        if chunk.offset != offset or chunk.epoch != manifest.epoch:
            raise UploadConflict(f"chunk at {chunk.offset} does not follow on at {offset}; resume")
        offset += chunk.length
    return _change(manifest, stamp, chunks=manifest.chunks + tuple(chunks))


def accept(
    manifest: Manifest,
    chunks: list[Chunk],
    digest: str,
    vm: str,
    exclusive_seconds: float,
    stamp: Stamp,
) -> Manifest:
    """Add the last chunks and accept; `vm` may deliver at once, others after `head_start`."""
    complete = append_chunks(manifest, chunks, stamp)
    if manifest.length is not None and complete.size != manifest.length:
        raise UploadConflict(f"{complete.size} of {manifest.length} bytes came; resume the upload")
    due = stamp.now + exclusive_seconds
    return replace(complete, state=UploadState.ACCEPTED, digest=digest, holder=vm, due=due)


def is_claimable(manifest: Manifest, vm: str, now: float) -> bool:
    """Return whether `vm` should deliver: a hint that saves work, never a proof."""
    if manifest.state is UploadState.ACCEPTED:
        return manifest.due <= now or (manifest.holder == vm and manifest.attempts == 0)
    return manifest.state is UploadState.DELIVERING and manifest.due <= now


def claim(manifest: Manifest, vm: str, lease: float, stamp: Stamp) -> Manifest:
    """Take the delivery for `lease` seconds."""
    if not is_claimable(manifest, vm, stamp.now):
        raise UploadConflict(f"upload {manifest.id} is not due; leave it to {manifest.holder}")
    return _change(
        manifest,
        stamp,
        state=UploadState.DELIVERING,
        holder=vm,
        due=stamp.now + lease,
        attempts=manifest.attempts + 1,
        sent=0,
    )


def renew_lease(manifest: Manifest, lease: float, sent: int, digest: str, stamp: Stamp) -> Manifest:
    """Keep the delivery for `lease` seconds more and record its progress."""
    _require_state(manifest, UploadState.DELIVERING)
    return _change(manifest, stamp, due=stamp.now + lease, sent=sent, digest=digest)


def postpone(manifest: Manifest, error: str, delay: float, stamp: Stamp) -> Manifest:
    """Give the delivery back, to be tried again after `delay` seconds."""
    _require_state(manifest, UploadState.DELIVERING)
    due = stamp.now + delay
    return _change(manifest, stamp, state=UploadState.ACCEPTED, due=due, sent=0, error=error)


def record_crash(
    manifest: Manifest, vm: str, upstream: str, error: str, delay: float, stamp: Stamp
) -> Manifest:
    """Record that `upstream` died while `vm` delivered to it: true whoever holds the lease.

    Held after `MOST_CRASHED` upstreams. Else given back as by `postponed`, if it is still `vm`'s.
    """
    _require_state(manifest, *DELIVERABLE_STATES)
    names = tuple(dict.fromkeys((*manifest.crashed, upstream)))
    if len(names) >= MAX_CRASHED_UPSTREAMS:
        error = f"{' and '.join(names)} died while they had it; mend them, then release the upload"
        change = _change(manifest, stamp, state=UploadState.FAILED, error=error, due=0.0)
    elif manifest.state is UploadState.DELIVERING and manifest.holder == vm:
        change = postpone(manifest, error, delay, stamp)
    else:
        change = _change(manifest, stamp, error=error)
    return replace(change, crashed=names)


def mark_failed(manifest: Manifest, error: str, stamp: Stamp) -> Manifest:
    """Hold an upload that its upstream refuses for good; its content stays."""
    _require_state(manifest, UploadState.DELIVERING)
    return _change(manifest, stamp, state=UploadState.FAILED, error=error, due=0.0)


def release_failed(manifest: Manifest, stamp: Stamp) -> Manifest:
    """Let a held upload be delivered again, by the operator's word."""
    _require_state(manifest, UploadState.FAILED)
    return _change(manifest, stamp, state=UploadState.ACCEPTED, due=stamp.now, crashed=())


def mark_delivered(manifest: Manifest, retention: float, stamp: Stamp) -> Manifest:
    """Record that an upstream confirmed id and digest: true whoever holds the lease."""
    _require_state(manifest, UploadState.ACCEPTED, UploadState.DELIVERING, UploadState.FAILED)
    return _change(
        manifest,
        stamp,
        state=UploadState.DELIVERED,
        headers=(),
        due=stamp.now + retention,
        sent=manifest.size,
        error="",
    )


def abandon(manifest: Manifest, retention: float, stamp: Stamp) -> Manifest:
    """Give up an upload that was never accepted; fences a writer that is still there."""
    _require_state(manifest, UploadState.OPEN)
    due = stamp.now + retention
    return _change(manifest, stamp, state=UploadState.ABANDONED, chunks=(), due=due)


def retry_delay(attempts: int, random: Random) -> float:
    """Return the seconds to wait after so many attempts, with jitter of a half."""
    delay = min(BACKOFF_CAP, BACKOFF_BASE * 2.0 ** min(attempts - 1, 16))
    return delay * random.uniform(0.5, 1.0)


def _require_state(manifest: Manifest, *states: UploadState) -> None:
    if manifest.state not in states:
        raise UploadConflict(
            f"upload {manifest.id} is {manifest.state.value}; ask for its offset and state"
        )


def _change(manifest: Manifest, stamp: Stamp, **fields) -> Manifest:
    return replace(manifest, updated=stamp.now, token=stamp.token, **fields)
