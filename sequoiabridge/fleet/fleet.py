"""The fleet's part of the daemon: joins the state machines to the channel and the timers.

Only the channel does I/O. With a channel of a test's own, a manual clock and a seeded random
source, whole fleets of nodes run in one process and in virtual time.
"""

from collections.abc import Callable, Iterable, Sequence
from random import Random

import curio

from ..logs import get_log
from ..parts import Part
from ..timers import Clock, Subscription, Timers
from .base import AnyItem, ConfigurationItem, Fleet, Item, MemberState, MemberView, Urgency
from .bucket import DEFAULT_RATE, HEARTBEAT, TRANSPORT_OVERHEAD, ByteBucket
from .channel import Channel, NngChannel
from .counters import Counters
from .currency import Currency, SpreadAck
from .members import Event, EventKind, MembershipOptions, Outgoing
from .membership import Membership
from .replay import Admission, ReplayGuard, first_incarnation
from .spreader import Spreader
from .wire import HEADER_SIZE, PACKET_SIZE, Bad, Codec, Kind, Message

log = get_log("fleet")

TICK = 0.1
"""Seconds between two ticks of the state machines."""
FANOUT = 2
"""Members that get urgent items in one tick."""
COMPARE_EVERY = 10.0
"""Seconds between two comparisons of state, while nothing differs."""
COMPARE_AGAIN = 1.0
"""Seconds to the next comparison after one that brought something new."""
LOAD_EVERY = 0.5
"""Seconds between two messages that carry only what is not urgent."""
CHASE_EVERY = 1.0
CHASE = 3
"""VMs pinged every `CHASE_EVERY` seconds because they have not confirmed a version yet."""
CHASE_FOR = 30.0
BASE_SIZE = 130
"""Bytes of a message that carries nothing, an estimate."""

Callback = Callable[[AnyItem, str], None]


class FleetNode(Fleet, Part):
    """Membership and exchange with the other daemons.

    Args:
        address: IP:port to listen on, and under which the others reach this VM.
        seeds: IP:port of some VMs of the fleet; this VM's own may be among them.
        keys: One or two keys, see `wire.parse_keys`.
        bytes_per_second: What all messages together may take.
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
        me = MemberView(vm, address, data_centre, incarnation, MemberState.ALIVE, now)
        self.membership = Membership(me, seeds, options or MembershipOptions(), random, now)
        self.codec = Codec(keys, address)
        self.guard = ReplayGuard()
        self.bucket = ByteBucket(bytes_per_second, now)
        self.spreader = Spreader(self.membership, self.codec, random)
        self.currency = Currency(now)
        self.counters = Counters()
        self.subscribers: list[tuple[type[Item], Callback]] = []
        self.listeners: list[Callable[[Event], None]] = []
        self.acks: dict[int, SpreadAck] = {}
        self.sequence = 0
        self.noticed = 0
        self.next_compare = self.next_load = self.next_chase = now
        self.subscription: Subscription | None = None
        self.receiver: curio.Task | None = None

    # The interface of `Fleet`.

    def publish(self, item: AnyItem, urgency: Urgency) -> None:
        now = self.clock.now()
        self.spreader.publish(item, urgency, now)
        if urgency <= Urgency.CRASH:
            self._spread_urgent(now)

    def subscribe(self, kind: type[Item], callback: Callback) -> None:
        self.subscribers.append((kind, callback))

    def members(self) -> list[MemberView]:
        return [self.membership.me, *self.membership.roster.members.values()]

    def live_count(self) -> int:
        return len(self.membership.roster.live_names) + 1

    def on_event(self, listener: Callable[[Event], None]) -> None:
        """Call `listener` when a VM joins, is suspected, dies or leaves, and after own pauses."""
        self.listeners.append(listener)

    def hint(self, addresses: Iterable[str]) -> None:
        """Take the fleet addresses (IP:port) of the platform's VM list as read just now."""
        self.membership.roster.hint(addresses)

    # Configuration.

    def applied(self, version: int) -> bool:
        """Note that a version is in force here; False if it is older than the one in force."""
        if not self.currency.applied(version, self.clock.now()):
            return False
        self.membership.me.version = version
        return True

    def track(self, version: int) -> SpreadAck:
        """Count from now on which VMs confirm that a version is in force there."""
        ack = SpreadAck(version, self.clock.now())
        for member in self.members():
            ack.heard(member.name, member.version)
        self.acks[version] = ack
        return ack

    def spread(self, version: int) -> tuple[int, int]:
        """Return (n, m): the version is known to be in force on n of m live VMs."""
        live = self.membership.live()
        others = sum(member.version >= version for member in live)
        return others + (self.currency.in_force >= version), len(live) + 1

    # Life.

    async def start(self) -> None:
        """Listen, and subscribe to the timers."""
        if isinstance(self.channel, NngChannel):
            self.channel.listen()
        self.receiver = await curio.spawn(self.channel.run, self.receive, daemon=True)
        self.subscription = self.timers.every(TICK, "fleet", self.tick)

    async def leave(self) -> None:
        """Tell the others that this VM leaves on purpose, and close the channel."""
        now = self.clock.now()
        for outgoing in self.membership.leave(now):
            self._send(outgoing, now)
        if self.subscription is not None:
            self.subscription.cancel()
        if self.receiver is not None:
            await self.receiver.cancel()
        await self.channel.close()

    def tick(self) -> None:
        """Do what is due; the timers call this."""
        now = self.clock.now()
        self.bucket.refill(now)
        for outgoing in self.membership.tick(now):
            self._send(outgoing, now)
        self._settle(now)
        if self.membership.leaving:
            return
        roster = self.membership.roster
        self.currency.fleet(self.live_count(), len(roster.expected) + 1)
        self._spread_urgent(now)
        self._fetch(now)
        self._notice(now)
        self._compare(now)
        self._chase(now)
        self._spread_rest(now)

    def receive(self, frame: bytes) -> None:
        """Take in one frame; the channel calls this."""
        now = self.clock.now()
        self.counters.messages_received += 1
        self.counters.bytes_received += len(frame) + TRANSPORT_OVERHEAD
        result = self.codec.decode(frame)
        if result.is_error():
            self.counters.bad[result.error] += 1
            return
        message = result.ok
        fresh = self.membership.fresh(message)
        if fresh and not self._admit(message, now):
            return
        if message.kind not in KNOWN_KINDS:
            self.counters.bad[Bad.UNKNOWN_KIND] += 1
            return
        stale = self.membership.stale
        answers = self.membership.received(message, now)
        self.counters.bad[Bad.STALE] += self.membership.stale - stale
        if fresh:
            self._take_in(message, now)
        for outgoing in answers:
            self._send(outgoing, now)
        self._settle(now)

    def dump(self) -> dict:
        now = self.clock.now()
        return {
            "incarnation": self.membership.me.incarnation,
            "live": self.live_count(),
            "expected": len(self.membership.roster.expected) + 1,
            "paused_s": round(self.membership.paused_for, 1),
            "members": [describe(member, now) for member in self.members()],
            "version": self.currency.in_force,
            "newest_version": self.currency.newest,
            "not_current_because": self.currency.why(now),
            "bucket_bytes": round(self.bucket.tokens),
            "waiting": self.spreader.queue.sizes(),
            "dropped": self.spreader.queue.dropped,
            "marks": len(self.spreader.marks.marks),
            "connections": self.channel.connections(),
            "counters": self.counters.dump(),
        }

    # Receiving.

    def _admit(self, message: Message, now: float) -> bool:
        admission = self.guard.admit(message.sender, message.incarnation, message.sequence)
        if admission is Admission.NEW:
            return True
        self.counters.bad[Bad.REPLAYED] += 1
        if admission is Admission.OLD_SESSION:
            for outgoing in self.membership.outdated(message):
                self._send(outgoing, now)
        return False

    def _take_in(self, message: Message, now: float) -> None:
        self.currency.heard(message.sender, message.version, now)
        for ack in self.acks.values():
            ack.heard(message.sender, message.version)
        new = self.spreader.received(message, now)
        for item, origin in new:
            if item is None:
                self.counters.bad[Bad.UNKNOWN_ITEM] += 1
                continue
            self._deliver(item, origin)
        if message.kind == Kind.FETCH:
            self._give(message, now)
        elif message.kind in (Kind.DIGEST, Kind.STATE):
            self._answer_digest(message, bool(new), now)

    def _deliver(self, item: AnyItem, origin: str) -> None:
        if isinstance(item, ConfigurationItem):
            self.currency.offer(item, self.clock.now())
        for kind, callback in self.subscribers:
            if isinstance(item, kind):
                callback(item, origin)

    def _settle(self, now: float) -> None:
        """Queue and tell what the last step of the membership changed."""
        changed, self.membership.changed = self.membership.changed, []
        self.spreader.queue_updates(changed, now)
        events, self.membership.events = self.membership.events, []
        for event in events:
            log.info("%s %s %s", event.name, event.kind.value, event.detail)
            if event.kind is EventKind.PAUSED:
                self.currency.resumed()
            if event.kind is EventKind.JOINED and self.live_count() <= 2:
                self.next_compare = now
            for listener in self.listeners:
                listener(event)

    # Sending.

    def _send(self, outgoing: Outgoing, now: float, message: Message | None = None) -> bool:
        """Send a message with what waits for its receiver, as the bucket allows."""
        if self.bucket.room(HEARTBEAT) <= 0:
            self.counters.not_sent += 1
            return False
        message = message or self._message(outgoing)
        used = HEADER_SIZE + BASE_SIZE + 48 * len(message.updates)
        used += sum(len(parcel.item) + 20 for parcel in message.parcels)
        entries = []
        if outgoing.to_incarnation:
            room = PACKET_SIZE - used
            entries = self.spreader.fill(message, outgoing.name, room, self.bucket, now)
        frame = self.codec.encode(message, outgoing.address)
        self.bucket.spend(len(frame) + TRANSPORT_OVERHEAD)
        self.counters.bytes_sent += len(frame) + TRANSPORT_OVERHEAD
        self.counters.messages_sent += 1
        for entry in entries:
            self.counters.bytes_by_urgency[entry.urgency] += entry.size
        if outgoing.redial:
            self.channel.redial(outgoing.address)
        sent = self.channel.send(outgoing.address, frame)
        self.counters.not_sent += not sent
        return sent

    def _message(self, outgoing: Outgoing) -> Message:
        me = self.membership.me
        self.sequence += 1
        return Message(
            int(outgoing.kind),
            me.name,
            me.address,
            me.data_centre,
            me.incarnation,
            self.sequence,
            outgoing.to_incarnation,
            self.currency.in_force,
            outgoing.number,
            outgoing.target,
            retry=outgoing.redial,
            updates=outgoing.updates,
        )

    def _to(self, member: MemberView, kind: Kind, number: int = 0) -> Outgoing:
        return Outgoing(member.address, member.name, member.incarnation, kind, number)

    def _spread_urgent(self, now: float) -> None:
        self.bucket.refill(now)
        for _ in range(FANOUT):
            target = self.spreader.next_target(Urgency.CRASH)
            if target is None or not self._worth_a_message(target):
                return
            self._send(self._to(target, Kind.GOSSIP), now)

    def _worth_a_message(self, target: MemberView) -> bool:
        """Return True if the most urgent item that `target` lacks can be paid now."""
        for entry in self.spreader.queue.waiting(Urgency.CRASH):
            if target.name not in entry.known:
                needed = min(entry.size, PACKET_SIZE) + BASE_SIZE + TRANSPORT_OVERHEAD
                return self.bucket.room(entry.urgency) >= needed
        return False

    def _spread_rest(self, now: float) -> None:
        """Use what the bucket leaves for items that are not urgent."""
        if now < self.next_load or self.bucket.room(Urgency.LOAD) < PACKET_SIZE:
            return
        self.next_load = now + LOAD_EVERY
        target = self.spreader.next_target(Urgency.LOAD)
        if target is not None:
            self._send(self._to(target, Kind.GOSSIP), now)

    def _notice(self, now: float) -> None:
        """Tell the publisher of the version in force that it is in force here."""
        version = self.currency.in_force
        if version <= self.noticed:
            return
        self.noticed = version
        origin = self.membership.roster.get(self.spreader.changes.origin(version))
        if origin is not None:
            self._send(self._to(origin, Kind.GOSSIP), now)

    def _chase(self, now: float) -> None:
        """Ping VMs that have not confirmed a tracked version."""
        if now < self.next_chase:
            return
        self.next_chase = now + CHASE_EVERY
        live = {member.name: member for member in self.membership.live()}
        for version, ack in list(self.acks.items()):
            if now - ack.since > CHASE_FOR:
                del self.acks[version]
            elif now - ack.since > CHASE_EVERY:
                for name in ack.unconfirmed(live)[:CHASE]:
                    self._send(self._to(live[name], Kind.PING), now)

    # Missed changes and comparison of state.

    def _fetch(self, now: float) -> None:
        wanted = self.currency.missing(now)
        if wanted is None:
            return
        holders = [m for m in self.membership.live() if m.version >= wanted.start]
        if not holders:
            return
        outgoing = self._to(self.random.choice(holders), Kind.FETCH, wanted.start)
        message = self._message(outgoing)
        message.until = wanted.stop - 1
        self._send(outgoing, now, message)

    def _give(self, request: Message, now: float) -> None:
        parcels = self.spreader.changes.between(request.number, request.until, PACKET_SIZE - 200)
        member = self.membership.roster.get(request.sender)
        if not parcels or member is None or self.bucket.room(Urgency.CONFIGURATION) <= 0:
            return
        outgoing = self._to(member, Kind.GOSSIP)
        message = self._message(outgoing)
        message.parcels = parcels
        self._send(outgoing, now, message)

    def _compare(self, now: float) -> None:
        live = self.membership.live()
        if now < self.next_compare or not live:
            return
        self.next_compare = now + COMPARE_EVERY * self.random.uniform(0.8, 1.2)
        outgoing = self._to(self.random.choice(live), Kind.DIGEST)
        message = self._message(outgoing)
        message.digest = self.spreader.digest()
        self._send(outgoing, now, message)

    def _answer_digest(self, message: Message, learned: bool, now: float) -> None:
        if message.kind == Kind.STATE and (learned or self.membership.changed):
            self.next_compare = min(self.next_compare, now + COMPARE_AGAIN)
        member = self.membership.roster.get(message.sender)
        if not message.digest or member is None:
            return
        updates, parcels = self.spreader.state_for(message.digest, now)
        if not (updates or parcels) or self.bucket.room(Urgency.MEMBERSHIP) < PACKET_SIZE:
            return
        outgoing = self._to(member, Kind.STATE)
        reply = self._message(outgoing)
        reply.updates, reply.parcels = updates, parcels
        if message.kind == Kind.DIGEST:
            reply.digest = self.spreader.digest()
        self._send(outgoing, now, reply)


KNOWN_KINDS = frozenset(int(kind) for kind in Kind)


def describe(member: MemberView, now: float) -> dict:
    """Return a member as shown in the dump."""
    return {
        "name": member.name,
        "address": member.address,
        "data_centre": member.data_centre,
        "state": member.state.name.lower(),
        "incarnation": member.incarnation,
        "since_s": round(now - member.since, 1),
        "version": member.version,
    }
