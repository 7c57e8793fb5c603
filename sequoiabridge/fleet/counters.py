"""What the fleet's part of a daemon counts."""

from collections import Counter

from .base import Urgency
from .bucket import TRANSPORT_OVERHEAD
from .wire import DropReason


class Counters:
    """Totals since the start; bytes include the estimate of transport overhead.

    Attributes:
        bytes_by_urgency: Bytes of items and updates sent, without frames and overhead.
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
        """Count a frame that leaves."""
        self.messages_sent += 1
        self.bytes_sent += len(frame) + TRANSPORT_OVERHEAD

    def record_received(self, frame: bytes) -> None:
        """Count a frame that came in."""
        self.messages_received += 1
        self.bytes_received += len(frame) + TRANSPORT_OVERHEAD

    def dump(self) -> dict:
        """Describe the totals for the state dump and the metrics."""
        return {
            "bytes_sent": self.bytes_sent,
            "bytes_received": self.bytes_received,
            "messages_sent": self.messages_sent,
            "messages_received": self.messages_received,
            "not_sent": self.not_sent,
            "bytes_by_urgency": {u.name.lower(): self.bytes_by_urgency[u] for u in Urgency},
            "bad": {reason.value: self.dropped[reason] for reason in DropReason},
        }
