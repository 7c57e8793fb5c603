"""Spreads items and updates: what is queued, what is known, what is paid, what is compared.

Pure but for the `transmit` function that it is given. Urgent items go at once to a few members
that are not known to have them, and each that hears one for the first time does the same; the
rest rides on heartbeats. Digests compared with one member at a time repair what was lost.
"""

from collections.abc import Callable, Iterable
from random import Random

import msgspec

from .base import (
    AnyItem,
    ConfigurationItem,
    CrashItem,
    DrainItem,
    LoadItem,
    MemberState,
    MemberView,
    RetryItem,
    Urgency,
)
from .bucket import ByteBucket, QueueEntry, SendQueue
from .marks import (
    ChangeLog,
    Mark,
    Marks,
    bucket_of,
    differing_buckets,
    digest_of,
    rank_of,
    subject_of,
)
from .members import update_of
from .membership import Membership
from .packing import has_change, pack_change, to_announcement
from .wire import PACKET_BYTES, Codec, Kind, Message, Parcel, Update, urgency_of

PARCEL_OVERHEAD = 8
MAX_LOAD_SENDS = 2
"""Members that hear an ordinary load item; a suspect's goes to as many as any other item."""
MAX_PERIODS = 4_096
"""VMs and services whose last counting period is remembered."""
UPDATE_SIZE = 48
"""Bytes of an update with names of usual length, an estimate."""

ItemListener = Callable[[AnyItem, str], None]


class Spreader:
    """What this daemon knows and has yet to tell."""

    def __init__(self, membership: Membership, codec: Codec, random: Random):
        self.membership = membership
        self.codec = codec
        self.random = random
        self.queue = SendQueue()
        self.marks = Marks()
        self.changes = ChangeLog()
        self.periods: dict[tuple, int] = {}
        self.spread_version = 0

    # Own items.

    def publish(self, item: AnyItem, urgency: Urgency, now: float) -> None:
        """Queue an item of this VM."""
        if isinstance(item, ConfigurationItem):
            self._publish_change(pack_change(item), urgency, now)
            return
        me = self.membership.own_member.name
        raw = self.codec.encode_item(item)
        if self._record(item, Parcel(raw, me), now, now):
            self._enqueue(item, Parcel(raw, me), urgency, now)

    def _publish_change(self, item: ConfigurationItem, urgency: Urgency, now: float) -> None:
        """Keep a change, and spread it, or its version if it is large, unless that was heard."""
        me = self.membership.own_member.name
        is_known = item.version in self.changes.parcels
        if self._record(item, Parcel(self.codec.encode_item(item), me), now, now) and not is_known:
            announcement = to_announcement(item)
            self._enqueue(
                announcement, Parcel(self.codec.encode_item(announcement), me), urgency, now
            )

    def spread_compressed(self, version: int, requester: str, now: float) -> None:
        """Spread a compressed change: a VM had to ask for it, so others can't read it either."""
        parcel = self.changes.parcels.get(version)
        if parcel is None or version <= self.spread_version:
            return
        item = self.codec.decode_item(parcel.item).ok
        if not item.packed:
            return
        self.spread_version = version
        entry = self._enqueue(item, parcel, Urgency.CONFIGURATION, now)
        entry.known_by.add(requester)
        entry.known_by.update(m.name for m in self.membership.live() if m.version >= version)

    def queue_updates(self, updates: Iterable[Update], now: float) -> None:
        """Queue words about members; a newer one replaces an older on the same VM."""
        for update in updates:
            subject = ("member", update.name)
            entry = QueueEntry(subject, Urgency.MEMBERSHIP, update, UPDATE_SIZE, now)
            entry.known_by.add(update.name if update.state == MemberState.ALIVE else "")
            self.queue.put(entry)

    # Items of others.

    def handle_message(self, message: Message, now: float) -> list[tuple[AnyItem | None, str]]:
        """Take in a message's parcels; return the new items, None if unknown, with their origin."""
        new: list[tuple[AnyItem | None, str]] = []
        self._mark_version_known(message)
        for parcel in message.parcels:
            result = self.codec.decode_item(parcel.item)
            if result.is_error():
                new.append((None, parcel.origin))
                continue
            item = add_age(result.ok, parcel.age_ms)
            since = now - parcel.age_ms / 1000
            if not self._record(item, parcel, since, now):
                continue
            new.append((item, parcel.origin))
            if not isinstance(item, LoadItem | RetryItem):
                entry = self._enqueue(item, parcel, urgency_of(item), since)
                entry.known_by.update((message.sender, parcel.origin))
        return new

    def fill(
        self, message: Message, target: str, room: int, bucket: ByteBucket, now: float
    ) -> list[QueueEntry]:
        """Add to a message what waits for `target`; return what was added."""
        size = len(self.membership.roster.live_names) + 1
        heartbeat = message.kind in (Kind.PING, Kind.ACK)
        entries = self.queue.take(target, room, bucket, size, heartbeat)
        for entry in entries:
            if isinstance(entry.content, Update):
                message.updates = [*message.updates, entry.content]
                continue
            age = int((now - entry.since) * 1000)
            parcel = Parcel(entry.content.item, entry.content.origin, age)
            message.parcels = [*message.parcels, parcel]
        return entries

    def next_target(self, lowest: Urgency) -> tuple[QueueEntry, MemberView] | None:
        """Return the most urgent waiting item and a live member that lacks it, or None."""
        for entry in self.queue.waiting(lowest):
            targets = [m for m in self.membership.live() if m.name not in entry.known_by]
            if targets:
                return entry, self.random.choice(targets)
            if self.membership.roster.live_names:
                self.queue.remove(entry)
        return None

    # Comparison of state.

    def digest(self) -> list[int]:
        """Return the digest of live members and marks."""
        return digest_of((subject, rank) for subject, rank, _ in self._entries())

    def differs(self, digest: list[int]) -> bool:
        """Return True if another daemon's digest shows that it knows more, less or other."""
        return bool(differing_buckets(self.digest(), digest))

    def state_for(self, digest: list[int], now: float) -> tuple[list[Update], list[Parcel]]:
        """Return what is in the buckets that differ from `digest`, as much as fits one frame."""
        wanted = differing_buckets(self.digest(), digest)
        entries = [e for e in self._entries() if bucket_of(e[0]) in wanted]
        self.random.shuffle(entries)
        updates: list[Update] = []
        parcels: list[Parcel] = []
        room = PACKET_BYTES - 200
        for _, _, content in entries:
            room -= UPDATE_SIZE if isinstance(content, Update) else len(content.raw) + 20
            if room < 0:
                break
            if isinstance(content, Update):
                updates.append(content)
            else:
                parcels.append(content.parcel(now))
        return updates, parcels

    def _entries(self) -> list[tuple[str, str, Update | Mark]]:
        members = [self.membership.own_member, *self.membership.live()]
        updates = [update_of(m) for m in members]
        state = [(f"member {u.name}", str(u.incarnation), u) for u in updates]
        return state + list(self.marks.entries())

    # Keeping.

    def _record(self, item: AnyItem, parcel: Parcel, since: float, now: float) -> bool:
        """Note an item; return False if it, or a newer one, was known."""
        match item:
            case ConfigurationItem():
                return self.changes.add(item.version, parcel, has_change(item))
            case DrainItem() | CrashItem():
                return self.marks.add(Mark(item, parcel.item, parcel.origin, since), now)
            case RetryItem():
                subject, period = subject_of(item, parcel.origin), rank_of(item)[0]
                known = self.periods.pop(subject, -1)
                self.periods[subject] = max(known, period)
                if known >= period:
                    return False
                if len(self.periods) > MAX_PERIODS:
                    del self.periods[next(iter(self.periods))]
        return True

    def _enqueue(self, item: AnyItem, parcel: Parcel, urgency: Urgency, since: float) -> QueueEntry:
        limit = MAX_LOAD_SENDS if isinstance(item, LoadItem) and not item.suspect else None
        size = len(parcel.item) + len(parcel.origin) + PARCEL_OVERHEAD
        subject = subject_of(item, parcel.origin)
        entry = QueueEntry(subject, urgency, parcel, size, since, limit)
        entry.known_by.add(self.membership.own_member.name)
        self.queue.put(entry)
        return entry

    def _mark_version_known(self, message: Message) -> None:
        """A VM in which a version is in force needs no change up to it."""
        for subject, entry in self.queue.queues[Urgency.CONFIGURATION].items():
            if subject[0] == "configuration" and subject[1] <= message.version:
                entry.known_by.add(message.sender)


def add_age(item: AnyItem, age_ms: int) -> AnyItem:
    """Return an item with the time it spent on its way added to its age."""
    if not isinstance(item, LoadItem):
        return item
    return msgspec.structs.replace(item, age_ms=item.age_ms + age_ms)
