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
RETRANSMIT_FACTOR = 1.6
"""Times the natural logarithm of the fleet's size: how often one daemon sends an item on."""
QUEUE_LIMIT = 2_000
"""Items that wait at most; beyond, the oldest of the lowest urgency is dropped."""

RIDE = 480
"""Bytes of words about members that a heartbeat may carry whatever the bucket holds. Without
them, VMs that start together know only their seeds, whose answers to them all empty the bucket,
so that nobody ever hears of anybody else."""
SMALLEST = 24
"""Bytes below which nothing fits a frame any more."""

HEARTBEAT = "heartbeat"
"""The purse of bare heartbeats, answers to them and state exchange requests."""
FLOORS = {
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

    __slots__ = ("rate", "size", "tokens", "filled")

    def __init__(self, rate: float, now: float):
        self.rate = rate
        self.size = rate * BURST_SECONDS
        self.tokens = self.size
        self.filled = now

    def refill(self, now: float) -> None:
        """Add what has come in since the last call."""
        self.tokens = min(self.size, self.tokens + (now - self.filled) * self.rate)
        self.filled = now

    def room(self, urgency: Urgency | str) -> float:
        """Return how many bytes `urgency` may spend now."""
        return self.tokens - FLOORS[urgency] * self.size

    def spend(self, count: int) -> None:
        """Take `count` bytes; the caller has asked for `room` before."""
        self.tokens -= count


def retransmits(size: int) -> int:
    """Return how often each daemon sends an item on, in a fleet of `size` VMs."""
    return max(2, math.ceil(RETRANSMIT_FACTOR * math.log(size + 1)))


class Entry:
    """Something that waits to be spread.

    Attributes:
        content: An `Update`, or a `Parcel` whose age counts from `since`.
        size: Bytes it takes in a frame.
        known: Names of VMs that have it; it is not sent to them.
        sent: How often it was sent.
    """

    __slots__ = ("subject", "urgency", "content", "size", "since", "known", "sent", "limit")

    def __init__(
        self,
        subject: Hashable,
        urgency: Urgency,
        content: Update | Parcel,
        size: int,
        since: float,
        limit: int | None = None,
    ):
        self.subject = subject
        self.urgency = urgency
        self.content = content
        self.size = size
        self.since = since
        self.known: set[str] = set()
        self.sent = 0
        self.limit = limit


class SendQueue:
    """What waits to be spread, by urgency and subject."""

    __slots__ = ("queues", "count", "dropped")

    def __init__(self):
        self.queues: dict[Urgency, dict[Hashable, Entry]] = {u: {} for u in Urgency}
        self.count = 0
        self.dropped = 0

    def put(self, entry: Entry) -> None:
        """Queue an entry in place of one about the same subject."""
        queue = self.queues[entry.urgency]
        if queue.pop(entry.subject, None) is None:
            self.count += 1
        queue[entry.subject] = entry
        if self.count > QUEUE_LIMIT:
            self._drop_lowest()

    def remove(self, entry: Entry) -> None:
        """Take an entry out, if it still waits."""
        queue = self.queues[entry.urgency]
        if queue.get(entry.subject) is entry:
            del queue[entry.subject]
            self.count -= 1

    def waiting(self, lowest: Urgency = Urgency.LOAD) -> Iterator[Entry]:
        """Yield the entries, most urgent first, down to the urgency `lowest`."""
        for urgency in Urgency:
            if urgency <= lowest:
                yield from list(self.queues[urgency].values())

    def take(
        self, target: str, room: int, bucket: ByteBucket, fleet_size: int, heartbeat: bool = False
    ) -> list[Entry]:
        """Choose what goes to `target` in one frame with `room` bytes left, and note it as sent.

        The caller spends the bytes. An entry larger than the room goes only if it is the first
        and a configuration change, in a frame of its own. On a `heartbeat`, a few words about
        members go even when the bucket does not pay for them; see `RIDE`.
        """
        chosen: list[Entry] = []
        used = riding = 0
        limit = retransmits(fleet_size)
        for entry in self.waiting():
            if room - used < SMALLEST:
                break
            rides = False
            if bucket.room(entry.urgency) < used + TRANSPORT_OVERHEAD:
                rides = heartbeat and entry.urgency is Urgency.MEMBERSHIP
                if not rides or riding + entry.size > RIDE:
                    continue
            if target in entry.known:
                continue
            if used + entry.size > room and (chosen or entry.urgency > Urgency.CONFIGURATION):
                continue
            chosen.append(entry)
            used += entry.size
            riding += rides * entry.size
            self._sent(entry, target, limit)
        return chosen

    def sizes(self) -> dict[str, int]:
        """Return how many entries wait at each urgency."""
        return {u.name.lower(): len(q) for u, q in self.queues.items()}

    def _sent(self, entry: Entry, target: str, limit: int) -> None:
        entry.sent += 1
        entry.known.add(target)
        self.remove(entry)
        if entry.sent < (entry.limit or limit):
            self.put(entry)  # At the end, so that all entries of an urgency take turns.

    def _drop_lowest(self) -> None:
        for urgency in reversed(Urgency):
            queue = self.queues[urgency]
            if queue:
                self.remove(next(iter(queue.values())))
                self.dropped += 1
                return
