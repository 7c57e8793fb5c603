"""State machine of a spooled upload: its manifest and the allowed transitions.

Pure functions: time, tokens and random numbers are arguments. Each transition returns a new
manifest, to be committed on condition that the row's version has not changed. A chunk belongs to
an upload only once a committed manifest refers to it (design: docs/design/uploads.md).
"""

from __future__ import annotations

import hashlib
from enum import Enum
from random import Random

import msgspec
from msgspec.structs import replace

from ..exceptions import SequoiaError

MAX_CRASHED_UPSTREAMS = 2
"""Number of upstreams that crash on an upload after which it is held for the operator."""

BACKOFF_BASE = 1.0
"""Delay in seconds before the second delivery attempt; doubled for each further one."""

BACKOFF_CAP = 300.0
"""Maximum delay in seconds between delivery attempts."""


class UploadConflict(SequoiaError):
    """The upload was changed concurrently, or the request does not fit its offset or state."""


class UploadKeyReused(SequoiaError):
    """The key or id belongs to an upload with other content, length, method or target."""


class UploadUnknown(SequoiaError):
    """The caller has no upload of this id."""


class UploadTooLarge(SequoiaError):
    """The upload exceeds the size limit of its rule."""


class UploadState(Enum):
    """State of an upload; in `FAILED` it is held with its content for the operator."""

    OPEN = "open"
    ACCEPTED = "accepted"
    DELIVERING = "delivering"
    DELIVERED = "delivered"
    FAILED = "failed"
    ABANDONED = "abandoned"


DELIVERABLE_STATES = (UploadState.ACCEPTED, UploadState.DELIVERING)
"""States of an upload that is still to be delivered."""


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A stored part of an upload; `digest` is its SHA-256, `nonce` makes its name unique."""

    epoch: int
    offset: int
    length: int
    digest: bytes
    nonce: str


class Manifest(msgspec.Struct, frozen=True):
    """Row of one upload in the table service; times are wall time in seconds.

    Attributes:
        headers: Header fields forwarded to the upstream.
        length: Size in bytes announced by the caller, or None.
        token: Unique to the change that wrote this row; identifies it after a lost answer.
        epoch: Number of the current writer; commits of earlier writers fail.
        digest: SHA-256 of the content in hexadecimal, or "" while it is not known.
        holder: VM that accepted or delivers the upload.
        due: When the holder's lease expires, or the next attempt or the clean-up is due.
        attempts: Number of delivery attempts so far.
        sent: Bytes sent by the current delivery attempt, as last recorded.
        error: Why the last delivery attempt failed, or why the upload is held.
        crashed: Upstreams that crashed during its delivery since it was accepted or released.
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
        """Number of committed bytes, which is the offset to resume at."""
        return self.chunks[-1].offset + self.chunks[-1].length if self.chunks else 0


class Stamp:
    """Wall time in seconds and token of one change."""

    __slots__ = ("now", "token")

    def __init__(self, now: float, token: str):
        self.now = now
        self.token = token


def keyed_id(service: str, caller: str, key: str) -> str:
    """Return the id of a caller's upload with an idempotency key; the same on every VM."""
    scope = msgspec.msgpack.encode((service, caller, key))
    return hashlib.sha256(scope).hexdigest()[:32]


def take_over(manifest: Manifest, stamp: Stamp) -> Manifest:
    """Start a new epoch for a new writer, so that commits of earlier writers fail."""
    _require_state(manifest, UploadState.OPEN, UploadState.ABANDONED)
    epoch = manifest.epoch + 1
    return _change(manifest, stamp, epoch=epoch, state=UploadState.OPEN, due=0.0)


def append_chunks(manifest: Manifest, chunks: list[Chunk], stamp: Stamp) -> Manifest:
    """Append stored chunks of the current epoch, which must be contiguous."""
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
    """Append the last chunks and accept the upload.

    `vm` may deliver it at once, other VMs only after `exclusive_seconds`.
    """
    complete = append_chunks(manifest, chunks, stamp)
    if manifest.length is not None and complete.size != manifest.length:
        raise UploadConflict(f"{complete.size} of {manifest.length} bytes came; resume the upload")
    due = stamp.now + exclusive_seconds
    return replace(complete, state=UploadState.ACCEPTED, digest=digest, holder=vm, due=due)


def is_claimable(manifest: Manifest, vm: str, now: float) -> bool:
    """Return whether `vm` may claim the delivery; the commit of the claim decides."""
    if manifest.state is UploadState.ACCEPTED:
        return manifest.due <= now or (manifest.holder == vm and manifest.attempts == 0)
    return manifest.state is UploadState.DELIVERING and manifest.due <= now


def claim(manifest: Manifest, vm: str, lease: float, stamp: Stamp) -> Manifest:
    """Claim the delivery with a lease of `lease` seconds."""
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
    """Extend the lease to `lease` seconds from now and record the progress."""
    _require_state(manifest, UploadState.DELIVERING)
    return _change(manifest, stamp, due=stamp.now + lease, sent=sent, digest=digest)


def postpone(manifest: Manifest, error: str, delay: float, stamp: Stamp) -> Manifest:
    """End the delivery attempt; the next one is due after `delay` seconds."""
    _require_state(manifest, UploadState.DELIVERING)
    due = stamp.now + delay
    return _change(manifest, stamp, state=UploadState.ACCEPTED, due=due, sent=0, error=error)


def record_crash(
    manifest: Manifest, vm: str, upstream: str, error: str, delay: float, stamp: Stamp
) -> Manifest:
    """Record that `upstream` crashed while `vm` delivered to it, whichever VM holds the lease.

    After `MAX_CRASHED_UPSTREAMS` the upload is held. Otherwise it is postponed if `vm` still holds
    the lease.
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
    """Hold an upload that its upstream rejected permanently; its content is kept."""
    _require_state(manifest, UploadState.DELIVERING)
    return _change(manifest, stamp, state=UploadState.FAILED, error=error, due=0.0)


def release_failed(manifest: Manifest, stamp: Stamp) -> Manifest:
    """Make a held upload due for delivery again, on the operator's command."""
    _require_state(manifest, UploadState.FAILED)
    return _change(manifest, stamp, state=UploadState.ACCEPTED, due=stamp.now, crashed=())


def mark_delivered(manifest: Manifest, retention: float, stamp: Stamp) -> Manifest:
    """Record that an upstream confirmed id and digest, whichever VM holds the lease."""
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
    """Abandon an upload that was never accepted; commits of its writer fail from then on."""
    _require_state(manifest, UploadState.OPEN)
    due = stamp.now + retention
    return _change(manifest, stamp, state=UploadState.ABANDONED, chunks=(), due=due)


def retry_delay(attempts: int, random: Random) -> float:
    """Return the delay in seconds after `attempts` attempts, less a jitter of up to half."""
    delay = min(BACKOFF_CAP, BACKOFF_BASE * 2.0 ** min(attempts - 1, 16))
    return delay * random.uniform(0.5, 1.0)


def _require_state(manifest: Manifest, *states: UploadState) -> None:
    if manifest.state not in states:
        raise UploadConflict(
            f"upload {manifest.id} is {manifest.state.value}; ask for its offset and state"
        )


def _change(manifest: Manifest, stamp: Stamp, **fields) -> Manifest:
    return replace(manifest, updated=stamp.now, token=stamp.token, **fields)
