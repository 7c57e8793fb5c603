"""The token bucket that limits control traffic between daemons, and the priority queue before it.

All control messages share one bucket. Each urgency has its own minimum fill level: load items stop
first, configuration changes last, and heartbeats after those. A flood of one urgency therefore
never delays a higher one, and never makes a live VM appear dead.
"""

import math
from collections.abc import Hashable, Iterator

from .base import Urgency
from .wire import Parcel, Update

DEFAULT_RATE = 3_000
"""Default rate of control traffic, in bytes per second."""
BURST_SECONDS = 1.0
"""Capacity of the bucket, in seconds at its rate."""
TRANSPORT_OVERHEAD = 112
"""Estimated bytes that a frame costs in addition to its own: 52 for the TCP and IP headers, 8 for
nng's length prefix, 52 for the TCP acknowledgement."""
MAX_SENDS_FACTOR = 1.6
"""Maximum number of sends per item and daemon, as a multiple of ln(fleet size + 1)."""
MAX_QUEUED_ENTRIES = 2_000
"""Maximum number of queued entries; beyond it, the oldest of the lowest urgency is dropped."""

MEMBERSHIP_OVERDRAFT = 480
"""Maximum bytes of membership updates that a heartbeat carries when the bucket is exhausted.
Without them, VMs that start together exhaust the buckets of their seeds and never discover each
other."""
MIN_ENTRY_SIZE = 24
"""Size in bytes of the smallest entry; a frame with less room left is full."""

HEARTBEAT = "heartbeat"
"""Key in `MIN_FILL_SHARE` of pings, their answers and requests to compare state."""
MIN_FILL_SHARE = {
    HEARTBEAT: -10.0,
    Urgency.CONFIGURATION: -0.5,
    Urgency.DRAIN: 0.0,
    Urgency.CRASH: 0.05,
    Urgency.MEMBERSHIP: 0.1,
    Urgency.RETRY: 0.3,
    Urgency.LOAD: 0.5,
}
"""Minimum fill level that each urgency must leave, as a share of the bucket's capacity; negative
levels allow an overdraft."""


class ByteBucket:
    """A token bucket; `rate` is in bytes per second and `now` in seconds."""

    __slots__ = ("rate", "size", "tokens", "refilled_at")

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.size = rate * BURST_SECONDS
        self.tokens = self.size
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last call."""
        self.tokens = min(self.size, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def room(self, urgency: Urgency | str) -> float:
        """Return how many bytes `urgency` may spend now; negative if none."""
        return self.tokens - MIN_FILL_SHARE[urgency] * self.size

    def spend(self, count: int) -> None:
        """Remove `count` bytes, which may overdraw the bucket; check `room` first."""
        self.tokens -= count


def max_sends(size: int) -> int:
    """Return how often each daemon sends an item in a fleet of `size` VMs."""
    return max(2, math.ceil(MAX_SENDS_FACTOR * math.log(size + 1)))


class QueueEntry:
    """A queued item or membership update.

    Attributes:
        subject: What the entry is about; a newer entry on the same subject replaces it.
        content: An `Update`, or a `Parcel` whose age counts from `since`.
        size: Size in a frame, in bytes.
        since: Start of the content's age, in seconds on this daemon's clock.
        known_by: Names of VMs that already have the content; it is not sent to them.
        send_count: Number of times the entry was sent.
        send_limit: Maximum number of sends; None for the default of the fleet's size.
    """

    __slots__ = (
        "subject",
        "urgency",
        "content",
        "size",
        "since",
        "known_by",
        "send_count",
        "send_limit",
    )

    def __init__(
        self,
        subject: Hashable,
        urgency: Urgency,
        content: Update | Parcel,
        size: int,
        since: float,
        send_limit: int | None = None,
    ):
        self.subject = subject
        self.urgency = urgency
        self.content = content
        self.size = size
        self.since = since
        self.known_by: set[str] = set()
        self.send_count = 0
        self.send_limit = send_limit


class SendQueue:
    """Entries that wait to be sent, by urgency and subject."""

    __slots__ = ("queues", "count", "dropped")

    def __init__(self):
        self.queues: dict[Urgency, dict[Hashable, QueueEntry]] = {u: {} for u in Urgency}
        self.count = 0
        self.dropped = 0

    def put(self, entry: QueueEntry) -> None:
        """Queue an entry, replacing one on the same subject."""
        queue = self.queues[entry.urgency]
        if queue.pop(entry.subject, None) is None:
            self.count += 1
        queue[entry.subject] = entry
        if self.count > MAX_QUEUED_ENTRIES:
            self._drop_lowest()

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry if it is still queued."""
        queue = self.queues[entry.urgency]
        if queue.get(entry.subject) is entry:
            del queue[entry.subject]
            self.count -= 1

    def waiting(self, lowest: Urgency = Urgency.LOAD) -> Iterator[QueueEntry]:
        """Yield the queued entries, most urgent first, down to the urgency `lowest`."""
        for urgency in Urgency:
            if urgency <= lowest:
                yield from list(self.queues[urgency].values())

    def take(
        self, target: str, room: int, bucket: ByteBucket, fleet_size: int, heartbeat: bool = False
    ) -> list[QueueEntry]:
        """Select the entries for one frame to `target` and record them as sent.

        The caller spends the bytes. An entry larger than `room` is selected only if it is a
        configuration change and the first entry of the frame. A `heartbeat` also carries up to
        `MEMBERSHIP_OVERDRAFT` bytes of membership updates that exceed the bucket's level.

        Args:
            room: Bytes left in the frame.
        """
        chosen: list[QueueEntry] = []
        used = overdrawn = 0
        send_limit = max_sends(fleet_size)
        for entry in self.waiting():
            if room - used < MIN_ENTRY_SIZE:
                break
            overdraws = False
            if bucket.room(entry.urgency) < used + TRANSPORT_OVERHEAD:
                overdraws = heartbeat and entry.urgency is Urgency.MEMBERSHIP
                if not overdraws or overdrawn + entry.size > MEMBERSHIP_OVERDRAFT:
                    continue
            if target in entry.known_by:
                continue
            if used + entry.size > room and (chosen or entry.urgency > Urgency.CONFIGURATION):
                continue
            chosen.append(entry)
            used += entry.size
            overdrawn += overdraws * entry.size
            self._record_send(entry, target, send_limit)
        return chosen

    def sizes(self) -> dict[str, int]:
        """Return the number of queued entries by urgency."""
        return {u.name.lower(): len(q) for u, q in self.queues.items()}

    def _record_send(self, entry: QueueEntry, target: str, send_limit: int) -> None:
        entry.send_count += 1
        entry.known_by.add(target)
        self.remove(entry)
        if entry.send_count < (entry.send_limit or send_limit):
            self.put(entry)  # At the end, for a round robin within an urgency.

    def _drop_lowest(self) -> None:
        for urgency in reversed(Urgency):
            queue = self.queues[urgency]
            if queue:
                self.remove(next(iter(queue.values())))
                self.dropped += 1
                return
