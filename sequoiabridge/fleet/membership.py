"""Membership: who shares the load now, by heartbeats, suspicion and incarnation numbers.

A pure state machine after SWIM (Das, Gupta, Motivala, 2002): each period it pings one member, asks
others to ping one that stays silent, suspects it if they fail too, and declares it dead if it
does not contradict in time. Time, messages and the random source are arguments. Two rules differ:

- Nobody is believed alive on words that may be a recording: a message counts only if it names the
  receiver's present incarnation. A first contact is answered, and asked back, before it counts.
- A VM that hears from nobody suspects itself first: for a while it suspects nobody, and what it
  concludes later it tells nobody.
"""

from collections.abc import Iterable
from random import Random

from .base import MemberState, MemberView
from .ledger import Ledger
from .members import EventKind, MembershipOptions, Outgoing, update_of
from .prober import Pending, Prober, reply, to
from .roster import Roster
from .wire import Kind, Message, Update

LEAVE_FANOUT = 8
"""VMs that a leaving VM tells itself; the others hear it from them."""
GREET = 3
"""VMs pinged at once after a pause, or while no live member is known."""
MANY = 6
"""If one in this many live members is suspected, the cause is larger than one VM."""
HURRY = 3
"""How much faster members are then pinged, to find out soon who else is gone."""
SILENCE = 2.0
"""Periods without any message after which a VM tells nobody what it concludes of others."""


class Membership:
    """The state machine.

    Args:
        me: This VM; its incarnation is that of `replay.first_incarnation`.
        seeds: Addresses (IP:port) from the settings.

    Attributes:
        ledger: What is believed of whom; its `changed` and `events` are taken by the owner.
        round_trips: Names of members that answered a ping, with the time at which it was sent;
            the owner takes and clears them.
        stale: How many messages were dropped because they name none of our incarnations.
        paused_for: Length in seconds of the last pause that this process noticed, or 0.
    """

    def __init__(
        self,
        me: MemberView,
        seeds: Iterable[str],
        options: MembershipOptions,
        random: Random,
        now: float,
    ):
        self.me = me
        self.options = options
        self.random = random
        self.roster = Roster(me, seeds, options)
        self.ledger = Ledger(me, self.roster)
        self.prober = Prober(self.roster, options, random)
        self.round_trips: list[tuple[str, float]] = []
        self.stale = 0
        self.paused_for = 0.0
        self.last_tick = self.last_heard = now
        self.next_ping = self.next_lost = self.next_forget = now

    @property
    def leaving(self) -> bool:
        """True once this VM has left on purpose."""
        return self.ledger.leaving

    def live(self) -> list[MemberView]:
        """Return the other VMs that are not known to be gone."""
        return self.roster.live()

    def fresh(self, message: Message) -> bool:
        """Return True if the message names an incarnation that this process has had."""
        return self.ledger.started <= message.to_incarnation <= self.me.incarnation

    # Time.

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due; call this several times a period."""
        gap, self.last_tick = now - self.last_tick, now
        if self.leaving:
            return []
        out: list[Outgoing] = []
        if gap > self.options.pause:
            out += self._resumed(gap, now)
        again, given_up = self.prober.expire(now)
        out += again
        for pending in given_up:
            self._unanswered(pending, now)
        self._expire_suspects(now)
        if now >= self.next_ping:
            self.next_ping = now + self._pace()
            member = self.prober.next_member()
            out += [self.prober.ping(member, now, probing=True)] if member else []
        if now >= self.next_lost:
            out += self._ping_lost(now)
        if now >= self.next_forget:
            self.next_forget = now + self.options.period
            self.roster.forget(now)
        return out

    def _pace(self) -> float:
        """Return the seconds to the next ping: fewer while many are suspected at once."""
        many = len(self.roster.suspects) * MANY >= len(self.roster.live_names) > 0
        return self.options.period / HURRY if many else self.options.period

    def leave(self, now: float) -> list[Outgoing]:
        """Leave on purpose: tell some members, who tell the others; ticks then do nothing."""
        self.ledger.leaving = True
        self.me.state, self.me.since = MemberState.LEFT, now
        word = update_of(self.me)
        live = self.live()
        chosen = self.random.sample(live, min(LEAVE_FANOUT, len(live)))
        return [to(member, Kind.GOSSIP, updates=[word]) for member in chosen]

    # Messages.

    def received(self, message: Message, now: float) -> list[Outgoing]:
        """Take in a message whose HMAC and sequence were checked."""
        if message.sender == self.me.name or self.leaving:
            return []
        if not self.fresh(message):
            return self._introduced(message, now)
        self.last_heard = now
        outdated = self.ledger.outdated(message.sender, message.incarnation)
        back = self.ledger.back(message.sender, message.incarnation)
        if outdated is None:
            self._heard(message, now)
        for update in message.updates:
            self.ledger.learn(update, now)
        told = [update_of(member) for member in (outdated, back) if member is not None]
        if message.kind == Kind.PING:
            return [reply(message, Kind.ACK, message.number, told)]
        out = [reply(message, Kind.GOSSIP, updates=told)] if told else []
        return out + self._answer(message, now)

    def outdated(self, message: Message) -> list[Outgoing]:
        """Answer a process whose session is over; one whose clock is behind learns so from it."""
        known = self.roster.get(message.sender)
        if known is None or not self.fresh(message) or self.leaving:
            return []
        return [reply(message, Kind.GOSSIP, updates=[update_of(known)])]

    def _introduced(self, message: Message, now: float) -> list[Outgoing]:
        """Answer a VM that does not know our incarnation, and ask it to prove that it is live."""
        if message.kind != Kind.PING:
            self.stale += 1
            return []
        return [
            reply(message, Kind.ACK, message.number),
            self.prober.probe(message.sender, message.address, message.incarnation, now),
        ]

    def _heard(self, message: Message, now: float) -> None:
        """Note that the sender is live."""
        self.ledger.replace_at(message.address, message.sender, message.incarnation, now)
        word = Update(
            message.sender,
            message.address,
            message.data_centre,
            message.incarnation,
            int(MemberState.ALIVE),
        )
        self.ledger.learn(word, now)
        self.roster.members[message.sender].version = message.version

    def _answer(self, message: Message, now: float) -> list[Outgoing]:
        if message.kind == Kind.PING_REQUEST:
            return self.prober.ping_for(message, now)
        if message.kind not in (Kind.ACK, Kind.INDIRECT_ACK):
            return []
        pending = self.prober.answered(message)
        if pending is None or message.kind == Kind.INDIRECT_ACK:
            return []
        self.round_trips.append((message.sender, pending.sent))
        if pending.relay is None:
            return []
        out = reply(pending.relay, Kind.INDIRECT_ACK, pending.relay.number)
        out.target = message.address
        return [out]

    # Silence.

    def _unanswered(self, pending: Pending, now: float) -> None:
        member = self.roster.get(pending.name)
        if not pending.probing or member is None or member.state is not MemberState.ALIVE:
            return
        if self.last_heard < pending.sent and now - self.last_heard < self.options.deaf:
            return  # Nobody was heard since: the fault may be on this side.
        self.ledger.mark(member, MemberState.SUSPECT, now, quiet=self._deaf(now))

    def _deaf(self, now: float) -> bool:
        return now - self.last_heard > SILENCE * self.options.period

    def _expire_suspects(self, now: float) -> None:
        if not self.roster.suspects:
            return
        limit = self.roster.suspicion()
        for name in sorted(self.roster.suspects):
            member = self.roster.get(name)
            if now - member.since >= limit:
                self.ledger.mark(member, MemberState.DEAD, now, quiet=self._deaf(now))

    def _ping_lost(self, now: float) -> list[Outgoing]:
        """Try an address of a dead member, a seed or a listed VM, in case one is back."""
        alone = not self.roster.live_names
        self.next_lost = now + (self.options.period if alone else self.options.retry_lost)
        lost = self.roster.lost_addresses()
        out = []
        for address in self.random.sample(lost, min(GREET if alone else 1, len(lost))):
            dead = self.roster.at(address)
            if dead is None:
                out.append(self.prober.probe("", address, 0, now))
            else:
                out.append(self.prober.ping(dead, now))
        return out

    def _resumed(self, gap: float, now: float) -> list[Outgoing]:
        """After a pause of this process: nobody is blamed for it, and some are asked for news."""
        self.paused_for = gap
        self.ledger.event(EventKind.PAUSED, self.me.name, now, f"{gap:.1f} s")
        self.prober.pending.clear()
        self.last_heard = now
        for name in self.roster.suspects:
            self.roster.members[name].since += gap
        live = self.live()
        chosen = self.random.sample(live, min(GREET, len(live)))
        return [self.prober.ping(member, now) for member in chosen]
