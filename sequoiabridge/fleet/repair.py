"""Makes up for what spreading missed: fetches changes, compares state, collects confirmations."""

from random import Random

from .base import Urgency
from .membership import Membership
from .pinger import message_to
from .sender import Sender
from .spreader import Spreader
from .version_tracker import SpreadTracker, VersionTracker
from .wire import PACKET_BYTES, Kind, Message

COMPARE_EVERY = 10.0
"""Seconds between two comparisons of state, while nothing differs."""
COMPARE_YOUNG = 2.0
STARTUP_SECONDS = 20.0
"""For so many seconds a new VM compares every `COMPARE_YOUNG` seconds."""
COMPARE_AGAIN = 1.0
"""Seconds to the next comparison after one that brought something new."""
CHASE_EVERY = 1.0
"""Seconds between pings of VMs that have not confirmed a tracked version."""
CHASE = 3
"""VMs pinged each time."""
CHASE_FOR = 30.0
"""Seconds after which a version is tracked no more."""
REPLY_ROOM = PACKET_BYTES - 200
"""Bytes of changes in one answer."""


class Repair:
    """Works at a low rate beside the spreading of new items."""

    def __init__(
        self,
        membership: Membership,
        spreader: Spreader,
        version_tracker: VersionTracker,
        sender: Sender,
        random: Random,
        now: float,
    ):
        self.membership = membership
        self.spreader = spreader
        self.version_tracker = version_tracker
        self.sender = sender
        self.random = random
        self.acks: dict[int, SpreadTracker] = {}
        self.noticed = 0
        self.started = now
        self.next_compare = self.next_chase = now

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._fetch(now)
        self._notice(now)
        self._compare(now)
        self._chase(now)

    def handle_message(self, message: Message, learned: bool, now: float) -> None:
        """Answer requests for changes and comparisons; `learned` if the message brought news."""
        for ack in self.acks.values():
            ack.record_version(message.sender, message.version)
        if message.kind == Kind.FETCH:
            self._give(message, now)
        elif message.kind in (Kind.DIGEST, Kind.STATE):
            self._answer_digest(message, learned, now)

    def track(self, version: int, now: float) -> SpreadTracker:
        """Count from now on which VMs confirm that a version is in force there."""
        ack = SpreadTracker(version, now)
        for member in self.membership.live():
            ack.record_version(member.name, member.version)
        self.acks[version] = ack
        return ack

    def _notice(self, now: float) -> None:
        """Tell the publisher of the version in force that it is in force here."""
        version = self.version_tracker.in_force
        if version <= self.noticed:
            return
        self.noticed = version
        origin = self.membership.roster.get(self.spreader.changes.origin(version))
        if origin is not None:
            self.sender.send(message_to(origin, Kind.GOSSIP), now)

    def _chase(self, now: float) -> None:
        if now < self.next_chase or not self.acks:
            return
        self.next_chase = now + CHASE_EVERY
        live = {member.name: member for member in self.membership.live()}
        for version, ack in list(self.acks.items()):
            if now - ack.since > CHASE_FOR:
                del self.acks[version]
            elif now - ack.since > CHASE_EVERY:
                for name in ack.unconfirmed(live)[:CHASE]:
                    self.sender.send(message_to(live[name], Kind.PING), now)

    def _fetch(self, now: float) -> None:
        wanted = self.version_tracker.next_fetch(now)
        if wanted is None:
            return
        holders = [m for m in self.membership.live() if m.version >= wanted.start]
        if not holders:
            return
        outgoing = message_to(self.random.choice(holders), Kind.FETCH, wanted.start)
        message = self.sender.message(outgoing)
        message.until = wanted.stop - 1
        self.sender.send(outgoing, now, message)

    def _give(self, request: Message, now: float) -> None:
        parcels = self.spreader.changes.between(request.number, request.until, REPLY_ROOM)
        member = self.membership.roster.get(request.sender)
        if not parcels or member is None:
            return
        if self.sender.bucket.room(Urgency.CONFIGURATION) < PACKET_BYTES:
            return  # It asks again, perhaps another VM.
        outgoing = message_to(member, Kind.GOSSIP)
        message = self.sender.message(outgoing)
        message.parcels = parcels
        self.spreader.spread_compressed(request.number, request.sender, now)
        self.sender.send(outgoing, now, message)

    def _compare(self, now: float) -> None:
        if now < self.next_compare or not self.membership.roster.live_names:
            return
        live = self.membership.live()
        interval = COMPARE_YOUNG if now - self.started < STARTUP_SECONDS else COMPARE_EVERY
        self.next_compare = now + interval * self.random.uniform(0.8, 1.2)
        self.spreader.marks.forget(now)
        outgoing = message_to(self.random.choice(live), Kind.DIGEST)
        message = self.sender.message(outgoing)
        message.digest = self.spreader.digest()
        self.sender.send(outgoing, now, message)

    def _answer_digest(self, message: Message, learned: bool, now: float) -> None:
        if message.kind == Kind.STATE and learned:
            self.next_compare = min(self.next_compare, now + COMPARE_AGAIN)
        member = self.membership.roster.get(message.sender)
        if not message.digest or member is None:
            return
        updates, parcels = self.spreader.state_for(message.digest, now)
        # A VM that differs has to hear so even if it is the one that knows more.
        differs = self.spreader.differs(message.digest)
        if not differs or self.sender.bucket.room(Urgency.MEMBERSHIP) < PACKET_BYTES:
            return
        outgoing = message_to(member, Kind.STATE)
        reply = self.sender.message(outgoing)
        reply.updates, reply.parcels = updates, parcels
        if message.kind == Kind.DIGEST:
            reply.digest = self.spreader.digest()
        self.sender.send(outgoing, now, reply)
