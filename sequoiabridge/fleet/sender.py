"""Builds, signs and sends messages, with queued updates and items, within the byte bucket."""

from .base import MemberView
from .bucket import HEARTBEAT, TRANSPORT_OVERHEAD, ByteBucket
from .channel import Channel
from .counters import Counters
from .members import Outgoing
from .spreader import Spreader
from .version_tracker import VersionTracker
from .wire import HEADER_BYTES, PACKET_BYTES, Codec, Message

EMPTY_MESSAGE_BYTES = 130
"""Estimated size of a message without updates and items."""


class Sender:
    """Sends all messages to other daemons."""

    def __init__(
        self,
        own_member: MemberView,
        spreader: Spreader,
        version_tracker: VersionTracker,
        codec: Codec,
        channel: Channel,
        bucket: ByteBucket,
        counters: Counters,
    ):
        self.own_member = own_member
        self.spreader = spreader
        self.version_tracker = version_tracker
        self.codec = codec
        self.channel = channel
        self.bucket = bucket
        self.counters = counters
        self.sequence = 0

    def message(self, outgoing: Outgoing) -> Message:
        """Return the message for `outgoing`, with the next sequence number."""
        own_member = self.own_member
        self.sequence += 1
        return Message(
            int(outgoing.kind),
            own_member.name,
            own_member.address,
            own_member.data_centre,
            own_member.incarnation,
            self.sequence,
            outgoing.to_incarnation,
            self.version_tracker.in_force,
            outgoing.number,
            outgoing.target,
            retry=outgoing.redial,
            updates=outgoing.updates,
        )

    def send(self, outgoing: Outgoing, now: float, message: Message | None = None) -> None:
        """Send a message, with queued updates and items for its receiver.

        Queued entries count as sent even if the channel drops the frame; dissemination by other
        members and the comparison of state repair the loss.
        """
        self.bucket.refill(now)
        if self.bucket.room(HEARTBEAT) <= 0:
            self.counters.not_sent += 1
            return
        message = message or self.message(outgoing)
        if outgoing.to_incarnation:
            self._fill(message, outgoing.name, now)
        frame = self.codec.encode(message, outgoing.address)
        self.bucket.spend(len(frame) + TRANSPORT_OVERHEAD)
        self.counters.record_sent(frame)
        if outgoing.redial:
            self.channel.redial(outgoing.address)
        if not self.channel.send(outgoing.address, frame):
            self.counters.not_sent += 1

    def _fill(self, message: Message, target: str, now: float) -> None:
        used = HEADER_BYTES + EMPTY_MESSAGE_BYTES + 48 * len(message.updates)
        used += sum(len(parcel.item) + 20 for parcel in message.parcels)
        room = PACKET_BYTES - used
        for entry in self.spreader.fill(message, target, room, self.bucket, now):
            self.counters.bytes_by_urgency[entry.urgency] += entry.size
