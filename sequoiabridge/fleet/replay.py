"""Incarnation numbers, and the window that drops a message that was seen before.

An incarnation is the wall time of the process's start in milliseconds, shifted left, plus one for
each time that the process had to contradict a rumour of its death. So a replacement counts higher
than the process it replaces, without a disk. The upper part is called the session.
"""

from collections import OrderedDict
from enum import Enum

COUNT_BITS = 10
"""Bits of an incarnation that count refutations within one session."""
REPLAY_WINDOW = 1_024
"""How many sequence numbers below the highest are still told apart."""
REPLAY_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1
MAX_SENDERS = 4_096


def first_incarnation(wall: float) -> int:
    """Return the incarnation of a process that starts at `wall` (seconds since 1970)."""
    return int(wall * 1000) << COUNT_BITS


def session_of(incarnation: int) -> int:
    """Return the part of an incarnation that is fixed for a process."""
    return incarnation >> COUNT_BITS


def next_session(incarnation: int) -> int:
    """Return the lowest incarnation of a session above that of `incarnation`."""
    return (session_of(incarnation) + 1) << COUNT_BITS


class Admission(Enum):
    """What a sequence number says of a message."""

    NEW = "new"
    REPLAYED = "replayed"
    OLD_SESSION = "old-session"
    """From a process that a younger one has replaced, or from one whose clock is behind."""


class ReplayGuard:
    """Remembers for each sender which sequence numbers of its session were seen."""

    __slots__ = ("senders",)

    def __init__(self):
        self.senders: OrderedDict[str, tuple[int, int, int]] = OrderedDict()

    def admit(self, sender: str, incarnation: int, sequence: int) -> Admission:
        """Return `NEW` the first time that a message is seen, and note it."""
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
