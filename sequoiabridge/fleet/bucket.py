"""The daemon's byte bucket, and the queues of what waits to be paid from it.

All control traffic between daemons is drawn from one bucket. Each urgency may draw it down to a
floor of its own: load stops first, configuration last, and bare heartbeats later still, so that
no lower urgency can hold up a higher one and no flood can make a live VM look dead.
"""

import math
from collections.abc import Hashable, Iterator

from .base import Urgency
from .wire import Parcel, Update

DEFAULT_RATE = 3_000
"""Bytes a second."""
BURST_SECONDS = 1.0
"""How many seconds' worth of bytes the bucket holds."""
TRANSPORT_OVERHEAD = 112
"""Bytes a frame costs besides its own, an estimate: 52 for TCP and IP headers with time stamps,
8 for the length that nng puts before it, 52 for the TCP acknowledgement that it causes."""
MAX_SENDS_FACTOR = 1.6
"""Times the natural logarithm of the fleet's size: how often one daemon sends an item on."""
MAX_QUEUED_ENTRIES = 2_000
"""Items that wait at most; beyond, the oldest of the lowest urgency is dropped."""

MEMBERSHIP_OVERDRAFT = 480
"""Bytes of words about members that a heartbeat may carry whatever the bucket holds. Without
them, VMs that start together know only their seeds, whose answers to them all empty the bucket,
so that nobody ever hears of anybody else."""
MIN_ENTRY_SIZE = 24
"""Bytes below which nothing fits a frame any more."""

HEARTBEAT = "heartbeat"
"""The purse of bare heartbeats, answers to them and state exchange requests."""
MIN_FILL_SHARE = {
    HEARTBEAT: -10.0,
    Urgency.CONFIGURATION: -0.5,
    Urgency.DRAIN: 0.0,
    Urgency.CRASH: 0.05,
    Urgency.MEMBERSHIP: 0.1,
    Urgency.RETRY: 0.3,
    Urgency.LOAD: 0.5,
}
"""Share of the bucket's size below which an urgency may not draw it."""


class ByteBucket:
    """A token bucket of bytes; `now` is in seconds."""

    __slots__ = ("rate", "size", "tokens", "refilled_at")

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.size = rate * BURST_SECONDS
        self.tokens = self.size
        self.refilled_at = now

    def refill(self, now: float) -> None:
        """Add what has come in since the last call."""
        self.tokens = min(self.size, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def room(self, urgency: Urgency | str) -> float:
        """Return how many bytes `urgency` may spend now."""
        return self.tokens - MIN_FILL_SHARE[urgency] * self.size

    def spend(self, count: int) -> None:
        """Take `count` bytes; the caller has asked for `room` before."""
        self.tokens -= count


def max_sends(size: int) -> int:
    """Return how often each daemon sends an item on, in a fleet of `size` VMs."""
    return max(2, math.ceil(MAX_SENDS_FACTOR * math.log(size + 1)))


class QueueEntry:
    """Something that waits to be spread.

    Attributes:
        content: An `Update`, or a `Parcel` whose age counts from `since`.
        size: Bytes it takes in a frame.
        known_by: Names of VMs that have it; it is not sent to them.
        sent: How often it was sent.
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
    """What waits to be spread, by urgency and subject."""

    __slots__ = ("queues", "count", "dropped")

    def __init__(self):
        self.queues: dict[Urgency, dict[Hashable, QueueEntry]] = {u: {} for u in Urgency}
        self.count = 0
        self.dropped = 0

    def put(self, entry: QueueEntry) -> None:
        """Queue an entry in place of one about the same subject."""
        queue = self.queues[entry.urgency]
        if queue.pop(entry.subject, None) is None:
            self.count += 1
        queue[entry.subject] = entry
        if self.count > MAX_QUEUED_ENTRIES:
            self._drop_lowest()

    def remove(self, entry: QueueEntry) -> None:
        """Take an entry out, if it still waits."""
        queue = self.queues[entry.urgency]
        if queue.get(entry.subject) is entry:
            del queue[entry.subject]
            self.count -= 1

    def waiting(self, lowest: Urgency = Urgency.LOAD) -> Iterator[QueueEntry]:
        """Yield the entries, most urgent first, down to the urgency `lowest`."""
        for urgency in Urgency:
            if urgency <= lowest:
                yield from list(self.queues[urgency].values())

    def take(
        self, target: str, room: int, bucket: ByteBucket, fleet_size: int, heartbeat: bool = False
    ) -> list[QueueEntry]:
        """Choose what goes to `target` in one frame with `room` bytes left, and note it as sent.

        The caller spends the bytes. An entry larger than the room goes only if it is the first
        and a configuration change, in a frame of its own. On a `heartbeat`, a few words about
        members go even when the bucket does not pay for them; see `MEMBERSHIP_OVERDRAFT`.
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
        """Return how many entries wait at each urgency."""
        return {u.name.lower(): len(q) for u, q in self.queues.items()}

    def _record_send(self, entry: QueueEntry, target: str, send_limit: int) -> None:
        entry.send_count += 1
        entry.known_by.add(target)
        self.remove(entry)
        if entry.send_count < (entry.send_limit or send_limit):
            self.put(entry)  # At the end, so that all entries of an urgency take turns.

    def _drop_lowest(self) -> None:
        for urgency in reversed(Urgency):
            queue = self.queues[urgency]
            if queue:
                self.remove(next(iter(queue.values())))
                self.dropped += 1
                return
