"""Traffic counters of the fleet component."""

from collections import Counter

from .base import Urgency
from .bucket import TRANSPORT_OVERHEAD
from .wire import DropReason


class Counters:
    """Totals since start; byte counts include estimated transport overhead.

    Attributes:
        not_sent: Messages that the byte bucket or the channel rejected.
        bytes_by_urgency: Bytes of items and updates sent, excluding frames and overhead.
        dropped: Received messages and items that were dropped, by reason.
    """

    __slots__ = (
        "bytes_sent",
        "bytes_received",
        "messages_sent",
        "messages_received",
        "not_sent",
        "bytes_by_urgency",
        "dropped",
    )

    def __init__(self):
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.messages_received = 0
        self.not_sent = 0
        self.bytes_by_urgency: Counter[Urgency] = Counter()
        self.dropped: Counter[DropReason] = Counter()

    def record_sent(self, frame: bytes) -> None:
        """Count a sent frame."""
        self.messages_sent += 1
        self.bytes_sent += len(frame) + TRANSPORT_OVERHEAD

    def record_received(self, frame: bytes) -> None:
        """Count a received frame."""
        self.messages_received += 1
        self.bytes_received += len(frame) + TRANSPORT_OVERHEAD

    def dump(self) -> dict:
        """Return the totals for the state dump."""
        return {
            "bytes_sent": self.bytes_sent,
            "bytes_received": self.bytes_received,
            "messages_sent": self.messages_sent,
            "messages_received": self.messages_received,
            "not_sent": self.not_sent,
            "bytes_by_urgency": {u.name.lower(): self.bytes_by_urgency[u] for u in Urgency},
            "bad": {reason.value: self.dropped[reason] for reason in DropReason},
        }
