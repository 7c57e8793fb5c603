"""State replicated to every VM, the log of recent configuration changes, and digests of state.

A mark is the newest item on a subject, such as the drain of an upstream or a request that crashed
one. VMs compare digests of their marks periodically, which repairs lost messages. A mark is sent
with its age, so that it expires on all VMs at about the same time.
"""

from collections.abc import Iterable
from zlib import crc32

import msgspec

from .base import AnyItem, ConfigurationItem, CrashItem, DrainItem, LoadItem, RetryItem
from .wire import Parcel

MARK_TTL = 3_600.0
"""Seconds after which a mark expires."""
MAX_MARKS = 4_096
"""Maximum number of marks; beyond it, the oldest is dropped."""
DIGEST_BUCKETS = 16
"""Number of buckets of a digest; only the contents of buckets that differ are sent."""
MAX_LOG_BYTES = 262_144
"""Maximum bytes of recent configuration changes kept for VMs that missed them."""

Subject = tuple


def subject_of(item: AnyItem, sender: str) -> Subject:
    """Return what an item is about; a newer item replaces one on the same subject."""
    match item:
        case ConfigurationItem():
            return ("configuration", item.version)
        case DrainItem():
            return ("drain", item.upstream)
        case CrashItem():
            return ("crash", item.fingerprint, item.upstream)
        case RetryItem():
            return ("retry", item.vm, item.service)
        case LoadItem():
            return ("load", sender, item.upstream)


def rank_of(item: AnyItem) -> tuple:
    """Return the order of an item among those on its subject; the highest rank is the newest."""
    match item:
        case DrainItem():
            return (item.incarnation, item.leaving)
        case CrashItem():
            return (item.at, item.released)
        case RetryItem():
            return (item.period,)
    return ()


class Mark:
    """The newest item on a subject.

    Attributes:
        raw: The encoded item.
        origin: Name of the VM that published it.
        since: Start of the item's age, in seconds on this daemon's clock.
        key, rank: Subject and rank as text for digests.
    """

    __slots__ = ("item", "raw", "origin", "since", "key", "rank")

    def __init__(self, item: DrainItem | CrashItem, raw: msgspec.Raw, origin: str, since: float):
        self.item = item
        self.raw = raw
        self.origin = origin
        self.since = since
        self.key = repr(subject_of(item, origin))
        self.rank = repr(rank_of(item))

    def parcel(self, now: float) -> Parcel:
        """Return the mark with its age at `now`."""
        return Parcel(self.raw, self.origin, int((now - self.since) * 1000))


class Marks:
    """The marks of this VM by subject."""

    __slots__ = ("marks",)

    def __init__(self):
        self.marks: dict[Subject, Mark] = {}

    def add(self, mark: Mark, now: float) -> bool:
        """Store a mark unless it is expired or not newer; return True if it was stored."""
        if now - mark.since >= MARK_TTL:
            return False
        subject = subject_of(mark.item, mark.origin)
        known = self.marks.pop(subject, None)
        if known is not None and rank_of(known.item) >= rank_of(mark.item):
            self.marks[subject] = known
            return False
        self.marks[subject] = mark
        if len(self.marks) > MAX_MARKS:
            del self.marks[next(iter(self.marks))]
        return True

    def remove_expired(self, now: float) -> None:
        """Remove expired marks."""
        for subject, mark in list(self.marks.items()):
            if now - mark.since >= MARK_TTL:
                del self.marks[subject]

    def entries(self) -> Iterable[tuple[str, str, Mark]]:
        """Yield subject and rank as text for digests, with the mark."""
        for mark in self.marks.values():
            yield mark.key, mark.rank, mark


class ChangeLog:
    """Recent configuration changes by version, for VMs that missed one.

    Attributes:
        version_only: Versions whose change is too large to be kept.
    """

    __slots__ = ("parcels", "size", "version_only")

    def __init__(self):
        self.parcels: dict[int, Parcel] = {}
        self.size = 0
        self.version_only: set[int] = set()

    def add(self, version: int, parcel: Parcel, is_complete: bool = True) -> bool:
        """Store a change, or only its version unless `is_complete`; return False if known."""
        if version in self.parcels and not (is_complete and version in self.version_only):
            return False
        self.version_only.discard(version) if is_complete else self.version_only.add(version)
        self.size -= len(self.parcels[version].item) if version in self.parcels else 0
        self.parcels[version] = parcel
        self.size += len(parcel.item)
        while self.size > MAX_LOG_BYTES and len(self.parcels) > 1:
            oldest = min(self.parcels)
            self.version_only.discard(oldest)
            self.size -= len(self.parcels.pop(oldest).item)
        return True

    def origin(self, version: int) -> str:
        """Return the name of the VM that published a version, or "" if unknown."""
        parcel = self.parcels.get(version)
        return parcel.origin if parcel is not None else ""

    def between(self, first: int, last: int, room: int) -> list[Parcel]:
        """Return consecutive changes from `first` to `last` that fit in `room` bytes.

        The first change is returned even if it is larger.
        """
        chosen: list[Parcel] = []
        for version in range(first, last + 1):
            parcel = self.parcels.get(version)
            if parcel is None:
                break
            room -= len(parcel.item)
            if room < 0 and chosen:
                break
            chosen.append(parcel)
        return chosen


def bucket_of(subject: str) -> int:
    """Return the digest bucket of a subject."""
    return crc32(subject.encode()) % DIGEST_BUCKETS


def digest_of(entries: Iterable[tuple[str, str]]) -> list[int]:
    """Return one checksum per bucket of subjects and ranks, independent of their order."""
    sums = [0] * DIGEST_BUCKETS
    for subject, rank in entries:
        sums[bucket_of(subject)] ^= crc32(f"{subject}={rank}".encode())
    return sums


def differing_buckets(local: list[int], remote: list[int]) -> set[int]:
    """Return the buckets that differ; all if the daemons use different numbers of buckets."""
    if len(remote) != DIGEST_BUCKETS:
        return set(range(DIGEST_BUCKETS))
    return {i for i, (a, b) in enumerate(zip(local, remote, strict=True)) if a != b}
