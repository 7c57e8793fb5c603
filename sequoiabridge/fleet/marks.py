"""Marks that every VM should have, the log of recent changes, and digests to compare them.

A mark is the last word on a subject: an upstream that drains, a request that crashed one. Marks
are compared between VMs from time to time by digest, so that a lost message loses no mark. Their
age goes with them, so that all VMs forget a mark at about the same time.
"""

from collections.abc import Iterable
from zlib import crc32

import msgspec

from .base import AnyItem, ConfigurationItem, CrashItem, DrainItem, LoadItem, RetryItem
from .wire import Parcel

MARK_TTL = 3_600.0
"""Seconds after which a mark is forgotten."""
MAX_MARKS = 4_096
DIGEST_BUCKETS = 16
"""Digests are compared in this many parts, so that little is sent for a small difference."""
MAX_LOG_BYTES = 262_144
"""Bytes of recent configuration changes that are kept for VMs that missed them."""

Subject = tuple


def subject_of(item: AnyItem, sender: str) -> Subject:
    """Return what an item is about; a newer item takes the place of one on the same subject."""
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
    """Return what decides between two items on one subject: the higher rank is the newer."""
    match item:
        case DrainItem():
            return (item.incarnation, item.leaving)
        case CrashItem():
            return (item.at, item.released)
        case RetryItem():
            return (item.period,)
    return ()


class Mark:
    """The last word on a subject; `since` is on this daemon's clock.

    Attributes:
        key, rank: Subject and rank as text for digests, made once.
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
        """Return the mark as it is sent now."""
        return Parcel(self.raw, self.origin, int((now - self.since) * 1000))


class Marks:
    """All marks by subject."""

    __slots__ = ("marks",)

    def __init__(self):
        self.marks: dict[Subject, Mark] = {}

    def add(self, mark: Mark, now: float) -> bool:
        """Keep a mark if it says something newer; return whether it did."""
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
        """Drop marks whose time is over."""
        for subject, mark in list(self.marks.items()):
            if now - mark.since >= MARK_TTL:
                del self.marks[subject]

    def entries(self) -> Iterable[tuple[str, str, Mark]]:
        """Yield subject and rank as text for digests, and the mark."""
        for mark in self.marks.values():
            yield mark.key, mark.rank, mark


class ChangeLog:
    """Recent configuration changes by version, for VMs that missed one.

    Attributes:
        version_only: Versions of which nothing else is known: their changes are large.
    """

    __slots__ = ("parcels", "size", "version_only")

    def __init__(self):
        self.parcels: dict[int, Parcel] = {}
        self.size = 0
        self.version_only: set[int] = set()

    def add(self, version: int, parcel: Parcel, is_complete: bool = True) -> bool:
        """Keep a change, or its version if it is not `is_complete`; return False if that was known."""
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
        """Return the VM that published a version, or ""."""
        parcel = self.parcels.get(version)
        return parcel.origin if parcel is not None else ""

    def between(self, first: int, last: int, room: int) -> list[Parcel]:
        """Return the changes from `first` in order, as many as fit, the first in any case."""
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
    """Return the part of the digest that a subject belongs to."""
    return crc32(subject.encode()) % DIGEST_BUCKETS


def digest_of(entries: Iterable[tuple[str, str]]) -> list[int]:
    """Return one checksum for each bucket of subjects and ranks, in whatever order they come."""
    sums = [0] * DIGEST_BUCKETS
    for subject, rank in entries:
        sums[bucket_of(subject)] ^= crc32(f"{subject}={rank}".encode())
    return sums


def differing_buckets(local: list[int], remote: list[int]) -> set[int]:
    """Return the buckets that differ; all if the other daemon divides differently."""
    if len(remote) != DIGEST_BUCKETS:
        return set(range(DIGEST_BUCKETS))
    return {i for i, (a, b) in enumerate(zip(local, remote, strict=True)) if a != b}
