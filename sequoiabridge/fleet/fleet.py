"""Fleet component of the daemon: connects the state machines to the channel and the timers.

Only the channel does I/O. With a simulated channel, a manual clock and a seeded random source,
tests run whole fleets in one process and in virtual time.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random

from ..component import Component
from ..logs import get_log
from ..supervision import Supervisor
from ..timers import Clock, Subscription, Timers
from .base import AnyItem, ConfigurationItem, Fleet, Item, MemberState, MemberView, Urgency
from .bucket import DEFAULT_RATE, TRANSPORT_OVERHEAD, ByteBucket
from .channel import Channel, NngChannel
from .counters import Counters
from .members import Event, EventKind, MembershipOptions
from .membership import Membership
from .pinger import message_to
from .repair import Repair
from .replay import Admission, ReplayGuard, first_incarnation
from .sender import EMPTY_MESSAGE_BYTES, Sender
from .snapshot import Consumer, Provider, SnapshotExchange
from .spreader import Spreader
from .version_tracker import SpreadTracker, VersionTracker
from .wire import PACKET_BYTES, Codec, DropReason, Kind, Message

log = get_log("fleet")

TICK_INTERVAL = 0.2
"""Seconds between ticks of the state machines."""
URGENT_FANOUT = 2
"""Maximum number of messages with urgent items per publication, received message or tick."""
LOAD_MESSAGE_INTERVAL = 0.5
"""Minimum seconds between messages that are sent for items of low urgency."""

ItemListener = Callable[[AnyItem, str], None]
EventListener = Callable[[Event], None]


class FleetNode(Fleet, Component):
    """Membership of this VM in the fleet, and exchange with the other daemons.

    Args:
        address: IP:port to listen on, at which the other VMs reach this one.
        seeds: IP:port of some VMs of the fleet; may include this VM's own.
        keys: One or two keys, see `wire.parse_keys`.
        bytes_per_second: Limit for all messages to other VMs.
    """

    name = "fleet"

    def __init__(
        self,
        vm: str,
        data_centre: str,
        address: str,
        seeds: Sequence[str],
        keys: Sequence[bytes],
        timers: Timers,
        clock: Clock,
        random: Random,
        bytes_per_second: float = DEFAULT_RATE,
        channel: Channel | None = None,
        options: MembershipOptions | None = None,
    ):
        now, incarnation = clock.now(), first_incarnation(clock.wall())
        self.timers, self.clock, self.random = timers, clock, random
        self.channel = channel or NngChannel(address)
        own_member = MemberView(vm, address, data_centre, incarnation, MemberState.ALIVE, now)
        self.own_member = own_member
        self.membership = Membership(own_member, seeds, options or MembershipOptions(), random, now)
        self.codec = Codec(keys, address)
        self.guard = ReplayGuard()
        self.bucket = ByteBucket(bytes_per_second, now)
        self.counters = Counters()
        self.version_tracker = VersionTracker(now)
        self.spreader = Spreader(self.membership, self.codec, random)
        self.sender = Sender(
            own_member,
            self.spreader,
            self.version_tracker,
            self.codec,
            self.channel,
            self.bucket,
            self.counters,
        )
        self.repair = Repair(
            self.membership, self.spreader, self.version_tracker, self.sender, random, now
        )
        self.snapshots = SnapshotExchange(
            self.membership, self.version_tracker, self.sender, random
        )
        self.item_listeners: list[tuple[type[Item], ItemListener]] = []
        self.event_listeners: list[EventListener] = []
        self.next_background_send = now
        self.subscription: Subscription | None = None
        self.tasks = Supervisor(clock)

    # Interface to other components.

    def publish(self, item: AnyItem, urgency: Urgency) -> None:
        now = self.clock.now()
        self.spreader.publish(item, urgency, now)
        self._send_urgent(now)

    def subscribe(self, kind: type[Item], callback: ItemListener) -> None:
        self.item_listeners.append((kind, callback))

    def members(self) -> list[MemberView]:
        return [self.own_member, *self.membership.roster.members.values()]

    def live_count(self) -> int:
        return len(self.membership.roster.live_names) + 1

    def on_event(self, listener: EventListener) -> None:
        """Call `listener` with each membership event."""
        self.event_listeners.append(listener)

    def set_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Set the fleet addresses (IP:port) of the platform's current VM list."""
        self.membership.roster.set_listed_addresses(addresses)

    def record_applied(self, version: int) -> bool:
        """Record that a version is in force here; return False if a newer one already is."""
        if not self.version_tracker.record_applied(version, self.clock.now()):
            return False
        self.own_member.version = version
        return True

    def set_document_handlers(self, provider: Provider, consumer: Consumer) -> None:
        """Enable the transfer of whole configurations to and from other VMs.

        Args:
            provider: Returns the version in force and its encoding.
            consumer: Called with a newer version and its encoding; applies it and calls
                `record_applied`.
        """
        self.snapshots.provider, self.snapshots.consumer = provider, consumer

    def track(self, version: int) -> SpreadTracker:
        """Track which VMs confirm that a version is in force there."""
        return self.repair.track(version, self.clock.now())

    def count_in_force(self, version: int) -> tuple[int, int]:
        """Return (n, m): the version, or a newer one, is in force on n of m live VMs."""
        views = [self.own_member, *self.membership.live()]
        return sum(view.version >= version for view in views), len(views)

    # Life cycle.

    async def start(self) -> None:
        """Listen, and subscribe to the timers."""
        self.channel.listen()
        await self.tasks.start("fleet channel", self.channel.run, self.receive)
        self.subscription = self.timers.every(TICK_INTERVAL, "fleet", self.tick)

    async def leave(self) -> None:
        """Leave the fleet and close the channel."""
        self.send_leave()
        if self.subscription is not None:
            self.subscription.cancel()
        await self.tasks.cancel()
        await self.channel.close()

    def send_leave(self) -> None:
        """Notify some members that this VM leaves; further messages are not answered."""
        now = self.clock.now()
        for outgoing in self.membership.leave(now):
            self.sender.send(outgoing, now)

    def tick(self) -> None:
        """Run the periodic work; called by the timers."""
        now = self.clock.now()
        if self.membership.leaving:
            return
        for outgoing in self.membership.tick(now):
            self.sender.send(outgoing, now)
        self._process_membership_changes(now)
        roster = self.membership.roster
        # A suspect may be across a network partition, so it does not count towards a majority.
        self.version_tracker.set_fleet_size(
            self.live_count() - len(roster.suspects), len(roster.expected) + 1
        )
        self._send_urgent(now)
        self.repair.tick(now)
        self.snapshots.tick(now)
        self._send_background(now)

    def receive(self, frame: bytes) -> None:
        """Process a received frame; called by the channel."""
        now = self.clock.now()
        self.counters.record_received(frame)
        result = self.codec.decode(frame)
        if result.is_error():
            self.counters.dropped[result.error] += 1
            return
        message = result.ok
        if message.kind not in KNOWN_KINDS:
            self.counters.dropped[DropReason.UNKNOWN_KIND] += 1
            return
        is_current = self.membership.names_own_incarnation(message)
        if is_current and not self._admit(message, now):
            return
        answers = self.membership.handle_message(message, now)
        has_updates = bool(self.membership.merger.pending_updates)
        for outgoing in answers:
            self.sender.send(outgoing, now)
        self._process_membership_changes(now)
        if is_current and not self.membership.leaving:
            self._apply_message(message, has_updates, now)

    def dump(self) -> dict:
        now = self.clock.now()
        return {
            "incarnation": self.own_member.incarnation,
            "live": self.live_count(),
            "expected": len(self.membership.roster.expected) + 1,
            "paused_s": round(self.membership.last_pause_seconds, 1),
            "members": [describe_member(member, now) for member in self.members()],
            "version": self.version_tracker.in_force,
            "newest_version": self.version_tracker.newest,
            "not_current_because": self.version_tracker.why_not_ready(now),
            "bucket_bytes": round(self.bucket.tokens),
            "waiting": self.spreader.queue.sizes(),
            "dropped": self.spreader.queue.dropped,
            "marks": len(self.spreader.marks.marks),
            "connections": self.channel.connections(),
            "stale": self.membership.stale_count,
            "counters": self.counters.dump(),
        }

    # Receiving.

    def _admit(self, message: Message, now: float) -> bool:
        admission = self.guard.admit(message.sender, message.incarnation, message.sequence)
        if admission is Admission.NEW:
            return True
        self.counters.dropped[DropReason.REPLAYED] += 1
        if admission is Admission.OLD_SESSION:
            for outgoing in self.membership.correct_outdated(message):
                self.sender.send(outgoing, now)
        return False

    def _apply_message(self, message: Message, has_updates: bool, now: float) -> None:
        """Process the version and the items of a message that passed the replay check."""
        self.version_tracker.record_peer_version(message.version, now)
        items = self.spreader.handle_message(message, now)
        for item, origin in items:
            self._deliver(item, origin, now)
        self.repair.handle_message(message, has_updates or bool(items), now)
        self.snapshots.handle_message(message, now)
        self._send_urgent(now)

    def _deliver(self, item: AnyItem | None, origin: str, now: float) -> None:
        if item is None:
            self.counters.dropped[DropReason.UNKNOWN_ITEM] += 1
            return
        if isinstance(item, ConfigurationItem):
            self.version_tracker.add_change(item, now)
        for kind, listener in self.item_listeners:
            if isinstance(item, kind):
                listener(item, origin)

    def _process_membership_changes(self, now: float) -> None:
        """Queue the updates and publish the events of the last membership step."""
        merger = self.membership.merger
        updates, merger.pending_updates = merger.pending_updates, []
        self.spreader.queue_updates(updates, now)
        round_trips, self.membership.round_trips = self.membership.round_trips, []
        for name, at in round_trips:
            self.version_tracker.record_confirmation(name, at)
        events, merger.events = merger.events, []
        for event in events:
            self._publish_event(event, now)

    def _publish_event(self, event: Event, now: float) -> None:
        log.info("VM %s: %s %s", event.name, event.kind.value, event.detail)
        if event.kind is EventKind.PAUSED:
            self.version_tracker.discard_confirmations()
        if event.kind is EventKind.JOINED and self.live_count() == 2:
            self.repair.next_compare = now
        for listener in self.event_listeners:
            listener(event)

    # Dissemination.

    def _send_urgent(self, now: float) -> None:
        """Send urgent items to members that lack them, within the byte bucket."""
        self.bucket.refill(now)
        for _ in range(URGENT_FANOUT):
            found = self.spreader.next_target(Urgency.CRASH)
            if found is None:
                return
            entry, target = found
            needed = min(entry.size, PACKET_BYTES) + EMPTY_MESSAGE_BYTES + TRANSPORT_OVERHEAD
            if self.bucket.room(entry.urgency) < needed:
                return
            self.sender.send(message_to(target, Kind.GOSSIP), now)

    def _send_background(self, now: float) -> None:
        """Send items of low urgency if the byte bucket has room."""
        if now < self.next_background_send or self.bucket.room(Urgency.LOAD) < PACKET_BYTES:
            return
        self.next_background_send = now + LOAD_MESSAGE_INTERVAL
        found = self.spreader.next_target(Urgency.LOAD)
        if found is not None:
            self.sender.send(message_to(found[1], Kind.GOSSIP), now)


KNOWN_KINDS = frozenset(int(kind) for kind in Kind)


def describe_member(member: MemberView, now: float) -> dict:
    """Return the dump entry of a member."""
    return {
        "name": member.name,
        "address": member.address,
        "data_centre": member.data_centre,
        "state": member.state.name.lower(),
        "incarnation": member.incarnation,
        "since_s": round(now - member.since, 1),
        "version": member.version,
    }
