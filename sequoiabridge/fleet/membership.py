"""Fleet membership: failure detection by pings, suspicion and incarnation numbers.

A state machine without I/O that follows SWIM (Das, Gupta, Motivala, 2002): each interval it pings
one member, requests indirect pings if no answer arrives, marks the member as suspect if these fail
too, and declares it dead unless it refutes in time. It differs from SWIM in two rules:

- Replay protection: a message counts as a sign of life only if it names the receiver's current
  incarnation. A first contact is answered and pinged back before it counts.
- Self-suspicion: a VM that receives no messages marks no member as suspect for a limited time,
  and does not disseminate the failures that it detects later.
"""

from collections.abc import Iterable
from random import Random

from .base import MemberState, MemberView
from .members import EventKind, MembershipOptions, Outgoing, update_of
from .pinger import PendingPing, Pinger, message_to, reply_to
from .roster import Roster
from .update_merger import UpdateMerger
from .wire import Kind, Message, Update

LEAVE_FANOUT = 8
"""Number of members that a leaving VM notifies directly."""
CONTACT_FANOUT = 3
"""Number of members pinged at once after a pause, or while no live member is known."""
MASS_SUSPICION_DIVISOR = 6
"""A mass failure is assumed if at least one in this many live members is a suspect."""
FAST_PING_FACTOR = 3
"""Factor by which the ping interval is shortened during a mass failure."""
ISOLATION_PERIODS = 2.0
"""Ping intervals without any message after which detected failures are not disseminated."""


class Membership:
    """State machine of the membership protocol.

    Args:
        own_member: This VM; its incarnation is that of `replay.first_incarnation`.
        seeds: Seed addresses (IP:port) from the settings.

    Attributes:
        merger: Applies updates; the owner takes its `pending_updates` and `events`.
        round_trips: Members that answered a ping, with the time the ping was sent; the owner
            takes and clears them.
        stale_count: Messages dropped because they name no incarnation of this session.
        last_pause_seconds: Duration of the last detected pause of this process, or 0.
    """

    def __init__(
        self,
        own_member: MemberView,
        seeds: Iterable[str],
        options: MembershipOptions,
        random: Random,
        now: float,
    ):
        self.own_member = own_member
        self.options = options
        self.random = random
        self.roster = Roster(own_member, seeds, options)
        self.merger = UpdateMerger(own_member, self.roster)
        self.pinger = Pinger(self.roster, options, random)
        self.round_trips: list[tuple[str, float]] = []
        self.stale_count = 0
        self.last_pause_seconds = 0.0
        self.last_tick = self.last_received_at = now
        self.next_ping = self.next_unreachable_ping = self.next_expiry = now

    @property
    def leaving(self) -> bool:
        """Whether this VM has left the fleet."""
        return self.merger.leaving

    def live(self) -> list[MemberView]:
        """Return the other members that are alive or suspected."""
        return self.roster.live()

    def names_own_incarnation(self, message: Message) -> bool:
        """Return True if the message names an incarnation of this session."""
        return (
            self.merger.initial_incarnation <= message.to_incarnation <= self.own_member.incarnation
        )

    # Time.

    def tick(self, now: float) -> list[Outgoing]:
        """Return the messages that are due; call this several times per ping interval."""
        gap, self.last_tick = now - self.last_tick, now
        if self.leaving:
            return []
        out: list[Outgoing] = []
        if gap > self.options.pause_threshold:
            out += self._handle_pause(gap, now)
        retries, expired = self.pinger.expire(now)
        out += retries
        for pending in expired:
            self._handle_timeout(pending, now)
        self._expire_suspects(now)
        if now >= self.next_ping:
            self.next_ping = now + self._ping_interval()
            member = self.pinger.next_member()
            out += [self.pinger.ping(member, now, suspect_on_timeout=True)] if member else []
        if now >= self.next_unreachable_ping:
            out += self._ping_unreachable(now)
        if now >= self.next_expiry:
            self.next_expiry = now + self.options.ping_interval
            self.roster.remove_expired(now)
        return out

    def _ping_interval(self) -> float:
        """Return the seconds to the next ping, shorter during a mass failure."""
        is_mass_failure = (
            len(self.roster.suspects) * MASS_SUSPICION_DIVISOR >= len(self.roster.live_names) > 0
        )
        return (
            self.options.ping_interval / FAST_PING_FACTOR
            if is_mass_failure
            else self.options.ping_interval
        )

    def leave(self, now: float) -> list[Outgoing]:
        """Leave the fleet; return the messages that notify some members."""
        self.merger.leaving = True
        self.own_member.state, self.own_member.since = MemberState.LEFT, now
        update = update_of(self.own_member)
        live = self.live()
        chosen = self.random.sample(live, min(LEAVE_FANOUT, len(live)))
        return [message_to(member, Kind.GOSSIP, updates=[update]) for member in chosen]

    # Messages.

    def handle_message(self, message: Message, now: float) -> list[Outgoing]:
        """Process an authenticated message, and return the answers.

        A message that names a current incarnation must have passed the replay check.
        """
        if message.sender == self.own_member.name or self.leaving:
            return []
        if not self.names_own_incarnation(message):
            return self._handle_first_contact(message, now)
        self.last_received_at = now
        outdated = self.merger.find_outdated(message.sender, message.incarnation)
        restored = self.merger.find_restored(message.sender, message.incarnation)
        if outdated is None:
            self._record_live(message, now)
        for update in message.updates:
            self.merger.merge(update, now)
        corrections = [update_of(member) for member in (outdated, restored) if member is not None]
        if message.kind == Kind.PING:
            return [reply_to(message, Kind.ACK, message.number, corrections)]
        out = [reply_to(message, Kind.GOSSIP, updates=corrections)] if corrections else []
        return out + self._handle_answer(message, now)

    def correct_outdated(self, message: Message) -> list[Outgoing]:
        """Send a process with an outdated session its known state, so that it can advance."""
        known = self.roster.get(message.sender)
        if known is None or not self.names_own_incarnation(message) or self.leaving:
            return []
        return [reply_to(message, Kind.GOSSIP, updates=[update_of(known)])]

    def _handle_first_contact(self, message: Message, now: float) -> list[Outgoing]:
        """Answer a VM that does not know the current incarnation, and ping it back."""
        if message.kind != Kind.PING:
            self.stale_count += 1
            return []
        return [
            reply_to(message, Kind.ACK, message.number),
            self.pinger.ping_address(message.sender, message.address, message.incarnation, now),
        ]

    def _record_live(self, message: Message, now: float) -> None:
        """Record that the sender is alive."""
        self.merger.replace_predecessor(message.address, message.sender, message.incarnation, now)
        update = Update(
            message.sender,
            message.address,
            message.data_centre,
            message.incarnation,
            int(MemberState.ALIVE),
        )
        self.merger.merge(update, now)
        self.roster.members[message.sender].version = message.version

    def _handle_answer(self, message: Message, now: float) -> list[Outgoing]:
        if message.kind == Kind.PING_REQUEST:
            return self.pinger.ping_on_request(message, now)
        if message.kind not in (Kind.ACK, Kind.INDIRECT_ACK):
            return []
        pending = self.pinger.match_answer(message)
        if pending is None or message.kind == Kind.INDIRECT_ACK:
            return []
        self.round_trips.append((message.sender, pending.sent_at))
        if pending.request is None:
            return []
        out = reply_to(pending.request, Kind.INDIRECT_ACK, pending.request.number)
        out.target = message.address
        return [out]

    # Failure detection.

    def _handle_timeout(self, pending: PendingPing, now: float) -> None:
        member = self.roster.get(pending.name)
        if (
            not pending.suspect_on_timeout
            or member is None
            or member.state is not MemberState.ALIVE
        ):
            return
        if (
            self.last_received_at < pending.sent_at
            and now - self.last_received_at < self.options.isolation_timeout
        ):
            return  # No message since the ping: the fault may be local.
        self.merger.set_state(member, MemberState.SUSPECT, now, local_only=self._is_isolated(now))

    def _is_isolated(self, now: float) -> bool:
        return now - self.last_received_at > ISOLATION_PERIODS * self.options.ping_interval

    def _expire_suspects(self, now: float) -> None:
        if not self.roster.suspects:
            return
        limit = self.roster.suspicion_timeout()
        for name in sorted(self.roster.suspects):
            member = self.roster.get(name)
            if now - member.since >= limit:
                self.merger.set_state(
                    member, MemberState.DEAD, now, local_only=self._is_isolated(now)
                )

    def _ping_unreachable(self, now: float) -> list[Outgoing]:
        """Ping addresses of dead members, seeds or listed VMs, which may be up again."""
        alone = not self.roster.live_names
        self.next_unreachable_ping = now + (
            self.options.ping_interval if alone else self.options.unreachable_ping_interval
        )
        addresses = self.roster.unreachable_addresses()
        out = []
        for address in self.random.sample(
            addresses, min(CONTACT_FANOUT if alone else 1, len(addresses))
        ):
            dead = self.roster.find_by_address(address)
            if dead is None:
                out.append(self.pinger.ping_address("", address, 0, now))
            else:
                out.append(self.pinger.ping(dead, now))
        return out

    def _handle_pause(self, gap: float, now: float) -> list[Outgoing]:
        """Extend suspicions by a pause of this process, and ping some members for updates."""
        self.last_pause_seconds = gap
        self.merger.record_event(EventKind.PAUSED, self.own_member.name, now, f"{gap:.1f} s")
        self.pinger.pending.clear()
        self.last_received_at = now
        for name in self.roster.suspects:
            self.roster.members[name].since += gap
        live = self.live()
        chosen = self.random.sample(live, min(CONTACT_FANOUT, len(live)))
        return [self.pinger.ping(member, now) for member in chosen]
