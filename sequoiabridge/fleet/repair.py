"""Anti-entropy: fetches missed changes, compares state and collects confirmations of versions."""

from random import Random

from .base import Urgency
from .membership import Membership
from .pinger import message_to
from .sender import Sender
from .spreader import Spreader
from .version_tracker import SpreadTracker, VersionTracker
from .wire import PACKET_BYTES, Kind, Message

COMPARE_INTERVAL = 10.0
"""Mean seconds between two comparisons of state."""
STARTUP_COMPARE_INTERVAL = 2.0
"""Mean seconds between two comparisons of state during `STARTUP_SECONDS`."""
STARTUP_SECONDS = 20.0
"""Seconds after its start during which a VM compares state more often."""
FOLLOW_UP_COMPARE_DELAY = 1.0
"""Maximum seconds to the next comparison after one that brought new state."""
CONFIRMATION_PING_INTERVAL = 1.0
"""Seconds between pings of VMs that have not confirmed a tracked version."""
MAX_CONFIRMATION_PINGS = 3
"""Maximum number of unconfirmed VMs pinged per version and interval."""
MAX_TRACKING_SECONDS = 30.0
"""Seconds for which the spread of a version is tracked."""
MAX_REPLY_CHANGES = PACKET_BYTES - 200
"""Maximum bytes of changes in one answer; a single larger change is sent alone."""


class Repair:
    """Repairs at a low rate what the spreading of new items missed."""

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
        self.trackers: dict[int, SpreadTracker] = {}
        self.announced_version = 0
        self.started_at = now
        self.next_compare = self.next_confirmation_ping = now

    def tick(self, now: float) -> None:
        """Run the periodic actions that are due."""
        self._fetch_missing(now)
        self._announce_version(now)
        self._compare(now)
        self._ping_unconfirmed(now)

    def handle_message(self, message: Message, learned: bool, now: float) -> None:
        """Answer requests for changes and comparisons of state.

        Args:
            learned: Whether the message brought new items or membership updates.
        """
        for tracker in self.trackers.values():
            tracker.record_version(message.sender, message.version)
        if message.kind == Kind.FETCH:
            self._answer_fetch(message, now)
        elif message.kind in (Kind.DIGEST, Kind.STATE):
            self._answer_digest(message, learned, now)

    def track(self, version: int, now: float) -> SpreadTracker:
        """Track from now on which VMs confirm that a version is in force there."""
        tracker = SpreadTracker(version, now)
        for member in self.membership.live():
            tracker.record_version(member.name, member.version)
        self.trackers[version] = tracker
        return tracker

    def _announce_version(self, now: float) -> None:
        """Confirm a new version in force to the VM that published it."""
        version = self.version_tracker.in_force
        if version <= self.announced_version:
            return
        self.announced_version = version
        origin = self.membership.roster.get(self.spreader.changes.origin(version))
        if origin is not None:
            self.sender.send(message_to(origin, Kind.GOSSIP), now)

    def _ping_unconfirmed(self, now: float) -> None:
        if now < self.next_confirmation_ping or not self.trackers:
            return
        self.next_confirmation_ping = now + CONFIRMATION_PING_INTERVAL
        live = {member.name: member for member in self.membership.live()}
        for version, tracker in list(self.trackers.items()):
            if now - tracker.since > MAX_TRACKING_SECONDS:
                del self.trackers[version]
            elif now - tracker.since > CONFIRMATION_PING_INTERVAL:
                for name in tracker.unconfirmed(live)[:MAX_CONFIRMATION_PINGS]:
                    self.sender.send(message_to(live[name], Kind.PING), now)

    def _fetch_missing(self, now: float) -> None:
        missing = self.version_tracker.next_fetch(now)
        if missing is None:
            return
        holders = [m for m in self.membership.live() if m.version >= missing.start]
        if not holders:
            return
        outgoing = message_to(self.random.choice(holders), Kind.FETCH, missing.start)
        message = self.sender.message(outgoing)
        message.until = missing.stop - 1
        self.sender.send(outgoing, now, message)

    def _answer_fetch(self, request: Message, now: float) -> None:
        parcels = self.spreader.changes.between(request.number, request.until, MAX_REPLY_CHANGES)
        member = self.membership.roster.get(request.sender)
        if not parcels or member is None:
            return
        if self.sender.bucket.room(Urgency.CONFIGURATION) < PACKET_BYTES:
            return  # The requester retries, possibly with another VM.
        outgoing = message_to(member, Kind.GOSSIP)
        message = self.sender.message(outgoing)
        message.parcels = parcels
        self.spreader.spread_compressed(request.number, request.sender, now)
        self.sender.send(outgoing, now, message)

    def _compare(self, now: float) -> None:
        if now < self.next_compare or not self.membership.roster.live_names:
            return
        live = self.membership.live()
        interval = (
            STARTUP_COMPARE_INTERVAL
            if now - self.started_at < STARTUP_SECONDS
            else COMPARE_INTERVAL
        )
        self.next_compare = now + interval * self.random.uniform(0.8, 1.2)
        self.spreader.marks.remove_expired(now)
        outgoing = message_to(self.random.choice(live), Kind.DIGEST)
        message = self.sender.message(outgoing)
        message.digest = self.spreader.digest()
        self.sender.send(outgoing, now, message)

    def _answer_digest(self, message: Message, learned: bool, now: float) -> None:
        if message.kind == Kind.STATE and learned:
            self.next_compare = min(self.next_compare, now + FOLLOW_UP_COMPARE_DELAY)
        member = self.membership.roster.get(message.sender)
        if not message.digest or member is None:
            return
        updates, parcels = self.spreader.state_for(message.digest, now)
        # Answered also if there is nothing to send: the other VM may hold the newer state.
        differs = self.spreader.differs(message.digest)
        if not differs or self.sender.bucket.room(Urgency.MEMBERSHIP) < PACKET_BYTES:
            return
        outgoing = message_to(member, Kind.STATE)
        reply = self.sender.message(outgoing)
        reply.updates, reply.parcels = updates, parcels
        if message.kind == Kind.DIGEST:
            reply.digest = self.spreader.digest()
        self.sender.send(outgoing, now, reply)
