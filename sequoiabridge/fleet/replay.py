"""Incarnation numbers, and replay protection by a sliding window of sequence numbers.

The upper bits of an incarnation, the session, are the start time of the process in milliseconds;
the lower bits count its refutations. A replacement thus gets a higher incarnation than its
predecessor without stored state.
"""

from collections import OrderedDict
from enum import Enum

COUNT_BITS = 10
"""Bits of an incarnation that count the refutations in one session."""
REPLAY_WINDOW = 1_024
"""Sequence numbers below the highest that are tracked; lower ones count as replayed."""
REPLAY_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1
MAX_SENDERS = 4_096
"""Maximum number of senders that are tracked."""


def first_incarnation(wall: float) -> int:
    """Return the incarnation of a process that starts at `wall` (seconds since 1970)."""
    return int(wall * 1000) << COUNT_BITS


def session_of(incarnation: int) -> int:
    """Return the session of an incarnation."""
    return incarnation >> COUNT_BITS


def next_session(incarnation: int) -> int:
    """Return the first incarnation of the session after that of `incarnation`."""
    return (session_of(incarnation) + 1) << COUNT_BITS


class Admission(Enum):
    """Result of the replay check of a message."""

    NEW = "new"
    REPLAYED = "replayed"
    OLD_SESSION = "old-session"
    """From a replaced process, or from a new process whose clock is behind."""


class ReplayGuard:
    """Tracks the sequence numbers received in the latest session of each sender."""

    __slots__ = ("senders",)

    def __init__(self):
        self.senders: OrderedDict[str, tuple[int, int, int]] = OrderedDict()

    def admit(self, sender: str, incarnation: int, sequence: int) -> Admission:
        """Record a sequence number; return `NEW` if it was not received before."""
        session = session_of(incarnation)
        known, highest, seen = self.senders.get(sender, (-1, 0, 0))
        if session < known:
            return Admission.OLD_SESSION
        if session > known:
            highest, seen = sequence, 0
        if sequence > highest:
            seen = (seen << min(sequence - highest, REPLAY_WINDOW)) & REPLAY_WINDOW_MASK
            highest = sequence
        behind = highest - sequence
        if behind >= REPLAY_WINDOW or seen >> behind & 1:
            return Admission.REPLAYED
        self._store(sender, session, highest, seen | 1 << behind)
        return Admission.NEW

    def _store(self, sender: str, session: int, highest: int, seen: int) -> None:
        self.senders[sender] = (session, highest, seen)
        self.senders.move_to_end(sender)
        if len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)
