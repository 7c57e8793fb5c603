"""Gossip of items and membership updates: queues, deduplicates and compares them. No I/O.

A new item is queued and forwarded to members not known to have it. Urgent items are sent
immediately to a few members, others are carried by heartbeats. Comparing digests with one member
at a time repairs losses.
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
"""Estimated bytes of a parcel in a frame besides its item and origin."""
MAX_LOAD_SENDS = 2
"""Maximum number of sends of a load item of an upstream that is not suspect."""
MAX_PERIODS = 4_096
"""Maximum number of VM and service pairs whose last counting period is remembered."""
UPDATE_SIZE = 48
"""Estimated size of a membership update in a frame, in bytes."""

ItemListener = Callable[[AnyItem, str], None]


class Spreader:
    """Replicated state of this daemon and the queue of items to send.

    Attributes:
        periods: Newest counting period received, by subject of the retry item.
        spread_version: Newest version whose compressed change was spread here on request.
    """

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
        """Record and queue an item of this VM."""
        if isinstance(item, ConfigurationItem):
            self._publish_change(pack_change(item), urgency, now)
            return
        me = self.membership.own_member.name
        raw = self.codec.encode_item(item)
        if self._record(item, Parcel(raw, me), now, now):
            self._enqueue(item, Parcel(raw, me), urgency, now)

    def _publish_change(self, item: ConfigurationItem, urgency: Urgency, now: float) -> None:
        """Record a change and queue it, or its version if it is large, unless it is known."""
        me = self.membership.own_member.name
        is_known = item.version in self.changes.parcels
        if self._record(item, Parcel(self.codec.encode_item(item), me), now, now) and not is_known:
            announcement = to_announcement(item)
            self._enqueue(
                announcement, Parcel(self.codec.encode_item(announcement), me), urgency, now
            )

    def spread_compressed(self, version: int, requester: str, now: float) -> None:
        """Queue a compressed change for all VMs.

        A VM requested it because it cannot read the table, so others may need it as well.
        """
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
        """Queue membership updates; a newer one replaces an older one on the same VM."""
        for update in updates:
            subject = ("member", update.name)
            entry = QueueEntry(subject, Urgency.MEMBERSHIP, update, UPDATE_SIZE, now)
            entry.known_by.add(update.name if update.state == MemberState.ALIVE else "")
            self.queue.put(entry)

    # Items of other VMs.

    def handle_message(self, message: Message, now: float) -> list[tuple[AnyItem | None, str]]:
        """Record a message's items and queue them for forwarding.

        Returns:
            The new items with their origin; None for an item of unknown type.
        """
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
        """Add queued entries for `target` to a message, up to `room` bytes; return them."""
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
        """Return the most urgent entry and a random live member without it, or None.

        Entries that all live members have are removed from the queue.
        """
        for entry in self.queue.waiting(lowest):
            targets = [m for m in self.membership.live() if m.name not in entry.known_by]
            if targets:
                return entry, self.random.choice(targets)
            if self.membership.roster.live_names:
                self.queue.remove(entry)
        return None

    # Comparison of state.

    def digest(self) -> list[int]:
        """Return the digest of the live members and the marks."""
        return digest_of((subject, rank) for subject, rank, _ in self._entries())

    def differs(self, digest: list[int]) -> bool:
        """Return True if another daemon's digest differs from the one here."""
        return bool(differing_buckets(self.digest(), digest))

    def state_for(self, digest: list[int], now: float) -> tuple[list[Update], list[Parcel]]:
        """Return the contents of the buckets that differ from `digest`, up to one frame."""
        buckets = differing_buckets(self.digest(), digest)
        entries = [e for e in self._entries() if bucket_of(e[0]) in buckets]
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

    # Recording.

    def _record(self, item: AnyItem, parcel: Parcel, since: float, now: float) -> bool:
        """Record an item; return False if it, or a newer one, is known."""
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
        """Mark queued changes up to a message's version as known by its sender."""
        for subject, entry in self.queue.queues[Urgency.CONFIGURATION].items():
            if subject[0] == "configuration" and subject[1] <= message.version:
                entry.known_by.add(message.sender)


def add_age(item: AnyItem, age_ms: int) -> AnyItem:
    """Return an item with its time in transit added to its age, if it has one."""
    if not isinstance(item, LoadItem):
        return item
    return msgspec.structs.replace(item, age_ms=item.age_ms + age_ms)
