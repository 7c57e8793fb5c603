"""Membership: who shares the load now, by heartbeats, suspicion and incarnation numbers.

A pure state machine after SWIM (Das, Gupta, Motivala, 2002): each period it pings one member, asks
others to ping one that stays silent, suspects it if they fail too, and declares it dead if it
does not contradict in time. Time, messages and the random source are arguments. Two rules differ:

- Nobody is believed alive on words that may be a recording: a message counts only if it names the
  receiver's present incarnation. A first contact is answered, and asked back, before it counts.
- A VM that hears from nobody suspects itself, not the others: it spreads no suspicion.
"""

from collections.abc import Iterable
from random import Random

from .base import MemberState, MemberView
from .members import (
    LIVE,
    RANK,
    Event,
    EventKind,
    MembershipOptions,
    Outgoing,
    Pending,
    Relay,
    state_of,
    update_of,
)
from .replay import next_session, session_of
from .roster import Roster
from .wire import Kind, Message, Update

LEAVE_FANOUT = 8
"""VMs that a leaving VM tells itself; the others hear it from them."""
GREET = 3
"""VMs pinged at once after a pause, or while no live member is known."""


class Membership:
    """The state machine.

    Args:
        me: This VM; its incarnation is that of `replay.first_incarnation`.
        seeds: Addresses (IP:port) from the settings.

    Attributes:
        changed: Updates to be spread; the owner takes and clears them.
        events: What happened; the owner takes and clears them.
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
        self.started = me.incarnation
        self.options = options
        self.random = random
        self.roster = Roster(me, seeds, options, random)
        self.pending: dict[int, Pending] = {}
        self.relays: dict[int, Relay] = {}
        self.order: list[str] = []
        self.number = 0
        self.changed: list[Update] = [update_of(me)]
        self.events: list[Event] = []
        self.stale = 0
        self.last_tick = now
        self.last_heard = now
        self.next_ping = now
        self.next_lost = now
        self.next_forget = now
        self.paused_for = 0.0
        self.leaving = False

    # What others ask.

    def live(self) -> list[MemberView]:
        """Return the other VMs that are not known to be gone."""
        return self.roster.live()

    def dead_for_us(self, now: float) -> bool:
        """Return True if nobody has been heard for so long that the fault may be on our side."""
        return bool(self.roster.live_names) and now - self.last_heard > self.options.period * 2

    # Time.

    def tick(self, now: float) -> list[Outgoing]:
        """Do what is due; call this several times a period."""
        gap, self.last_tick = now - self.last_tick, now
        if self.leaving:
            return []
        out: list[Outgoing] = []
        if gap > self.options.pause:
            out += self._resumed(gap, now)
        out += self._expire_pings(now)
        self._expire_suspects(now)
        if now >= self.next_ping:
            self.next_ping = now + self.options.period
            out += self._ping_next(now)
        if now >= self.next_lost:
            out += self._ping_lost(now)
        if now >= self.next_forget:
            self.next_forget = now + self.options.period
            self._forget(now)
        return out

    def leave(self, now: float) -> list[Outgoing]:
        """Leave on purpose: tell some members, who tell the others; ticks then do nothing."""
        self.leaving = True
        self.me.state, self.me.since = MemberState.LEFT, now
        word = update_of(self.me)
        live = self.live()
        chosen = self.random.sample(live, min(LEAVE_FANOUT, len(live)))
        return [self._to(member, Kind.GOSSIP, updates=[word]) for member in chosen]

    # Messages.

    def fresh(self, message: Message) -> bool:
        """Return True if the message names an incarnation that this process has had."""
        return self.started <= message.to_incarnation <= self.me.incarnation

    def received(self, message: Message, now: float) -> list[Outgoing]:
        """Take in a message whose HMAC and sequence were checked."""
        if message.sender == self.me.name:
            return []
        if not self.fresh(message):
            return self._introduced(message, now)
        self.last_heard = now
        out = self._heard(message, now)
        for update in message.updates:
            self._learn(update, now)
        out += self._answer(message, now)
        return out

    def outdated(self, message: Message) -> list[Outgoing]:
        """Answer a process whose session is over; one whose clock is behind learns so from it."""
        known = self.roster.get(message.sender)
        if known is None or not self.fresh(message):
            return []
        return [self._reply(message, Kind.GOSSIP, updates=[update_of(known)])]

    def _introduced(self, message: Message, now: float) -> list[Outgoing]:
        """Answer a VM that does not know our incarnation, and ask it to prove that it is live."""
        if message.kind != Kind.PING or self.leaving:
            self.stale += 1
            return []
        return [
            self._reply(message, Kind.ACK, number=message.number),
            self._probe(message.sender, message.address, message.incarnation, now),
        ]

    def _heard(self, message: Message, now: float) -> list[Outgoing]:
        """Note that the sender is live, unless its incarnation is known to be over."""
        known = self.roster.get(message.sender)
        if known is not None and self._outdated(known, message):
            if message.kind == Kind.PING:
                return []  # The answer to the ping will tell it.
            return [self._reply(message, Kind.GOSSIP, updates=[update_of(known)])]
        self._replace_at(message, now)
        word = Update(
            message.sender,
            message.address,
            message.data_centre,
            message.incarnation,
            int(MemberState.ALIVE),
        )
        self._learn(word, now)
        member = self.roster.get(message.sender)
        if member is not None:
            member.version = message.version
        return []

    def _outdated(self, known: MemberView, message: Message) -> bool:
        if message.incarnation != known.incarnation:
            return message.incarnation < known.incarnation
        return known.state is not MemberState.ALIVE

    def _answer(self, message: Message, now: float) -> list[Outgoing]:
        if message.kind == Kind.PING and not self.leaving:
            known = self.roster.get(message.sender)
            told = [update_of(known)] if known and self._outdated(known, message) else []
            return [self._reply(message, Kind.ACK, number=message.number, updates=told)]
        if message.kind == Kind.ACK:
            return self._acknowledged(message)
        if message.kind == Kind.INDIRECT_ACK:
            pending = self.pending.get(message.number)
            if pending is not None and pending.address == message.target:
                del self.pending[message.number]
        if message.kind == Kind.PING_REQUEST and not self.leaving:
            return self._ping_for(message, now)
        return []

    def _acknowledged(self, message: Message) -> list[Outgoing]:
        pending = self.pending.get(message.number)
        if pending is None or pending.name not in ("", message.sender):
            return []
        del self.pending[message.number]
        relay = self.relays.pop(message.number, None)
        if relay is None:
            return []
        asker = self.roster.get(relay.name)
        if asker is None:
            return []
        return [self._to(asker, Kind.INDIRECT_ACK, number=relay.number, target=message.address)]

    def _ping_for(self, message: Message, now: float) -> list[Outgoing]:
        member = self.roster.at(message.target)
        if member is None:
            return []
        out = self._probe(member.name, member.address, member.incarnation, now)
        self.relays[out.number] = Relay(message.address, message.sender, message.number, now)
        return [out]

    # Words about VMs.

    def _learn(self, update: Update, now: float) -> None:
        state = state_of(update)
        if state is None:
            return
        if update.name == self.me.name:
            self._about_me(update, state, now)
            return
        known = self.roster.get(update.name)
        if known is not None and not newer(update, state, known):
            if known.state not in LIVE and state in LIVE:
                self.changed.append(update_of(known))  # Others may have missed the end.
            return
        self._set(update, state, now)

    def _about_me(self, update: Update, state: MemberState, now: float) -> None:
        """Contradict a word that would have this process gone, or that an older one left over."""
        mine = self.me.incarnation
        if update.incarnation < mine or self.leaving:
            return
        if update.incarnation == mine and state is MemberState.ALIVE:
            return
        same = session_of(update.incarnation) == session_of(mine)
        self.me.incarnation = update.incarnation + 1 if same else next_session(update.incarnation)
        if not same:
            self.started = self.me.incarnation
        if state in (MemberState.DEAD, MemberState.LEFT):
            self._event(EventKind.DECLARED_DEAD, self.me.name, now, "rejoined")
        self.changed.append(update_of(self.me))

    def _set(self, update: Update, state: MemberState, now: float) -> None:
        known = self.roster.get(update.name)
        before = known.state if known is not None else None
        self.roster.put(update, state, now)
        self.changed.append(update)
        if state is MemberState.ALIVE and before not in LIVE:
            self._event(EventKind.JOINED, update.name, now, update.address)
        elif state is MemberState.ALIVE and before is MemberState.SUSPECT:
            self._event(EventKind.REFUTED, update.name, now)
        elif state is MemberState.SUSPECT and before is not MemberState.SUSPECT:
            self._event(EventKind.SUSPECTED, update.name, now)
        elif state is MemberState.DEAD and before in LIVE:
            self._event(EventKind.DIED, update.name, now)
        elif state is MemberState.LEFT and before in LIVE:
            self._event(EventKind.LEFT, update.name, now)

    def _replace_at(self, message: Message, now: float) -> None:
        """End the VM that had the sender's address before, if the sender is the younger."""
        old = self.roster.at(message.address)
        if old is None or old.name == message.sender or old.state not in LIVE:
            return
        if session_of(old.incarnation) >= session_of(message.incarnation):
            return
        self._mark(old, MemberState.DEAD, now)
        self._event(EventKind.REPLACED, old.name, now, f"by {message.sender}")

    def _mark(self, member: MemberView, state: MemberState, now: float) -> None:
        word = Update(
            member.name, member.address, member.data_centre, member.incarnation, int(state)
        )
        self._set(word, state, now)
        if self.dead_for_us(now):
            self.changed.pop()

    # Pings.

    def _ping_next(self, now: float) -> list[Outgoing]:
        member = self._next_member()
        if member is None:
            return []
        return [self._ping(member, now, probing=True)]

    def _next_member(self) -> MemberView | None:
        """Return the next live member of a random order that is drawn anew each round."""
        for _ in range(2):
            while self.order:
                member = self.roster.get(self.order.pop())
                if member is not None and member.state in LIVE:
                    return member
            self.order = [member.name for member in self.live()]
            self.random.shuffle(self.order)
        return None

    def _ping(self, member: MemberView, now: float, probing: bool) -> Outgoing:
        told = [] if member.state is MemberState.ALIVE else [update_of(member)]
        out = self._to(member, Kind.PING, number=self._pend(member, now, probing), updates=told)
        out.redial = member.state is not MemberState.ALIVE
        return out

    def _pend(self, member: MemberView, now: float, probing: bool) -> int:
        self.number += 1
        pending = Pending(self.number, member.name, member.address, now, probing)
        self.pending[self.number] = pending
        return self.number

    def _probe(self, name: str, address: str, incarnation: int, now: float) -> Outgoing:
        self.number += 1
        self.pending[self.number] = Pending(self.number, name, address, now, probing=False)
        return Outgoing(address, name, incarnation, Kind.PING, self.number)

    def _expire_pings(self, now: float) -> list[Outgoing]:
        out: list[Outgoing] = []
        for pending in list(self.pending.values()):
            age = now - pending.sent
            if age >= self.options.period:
                self._unanswered(pending, now)
            elif pending.probing and not pending.indirect and age >= self.options.ack_timeout:
                pending.indirect = True
                out += self._ask_others(pending)
        return out

    def _ask_others(self, pending: Pending) -> list[Outgoing]:
        """Ask others to ping it, and ping it again on a new connection."""
        member = self.roster.get(pending.name)
        if member is None:
            return []
        others = [m for m in self.live() if m is not member]
        chosen = self.random.sample(others, min(self.options.indirect, len(others)))
        again = self._to(member, Kind.PING, number=pending.number, updates=[update_of(member)])
        again.redial = True
        number, target = pending.number, pending.address
        return [again] + [self._to(m, Kind.PING_REQUEST, number, target) for m in chosen]

    def _unanswered(self, pending: Pending, now: float) -> None:
        del self.pending[pending.number]
        self.relays.pop(pending.number, None)
        member = self.roster.get(pending.name)
        if not pending.probing or member is None or member.state is not MemberState.ALIVE:
            return
        if self.last_heard < pending.sent and now - self.last_heard < self.options.deaf:
            return  # Nobody was heard since: the fault may be on this side.
        self._mark(member, MemberState.SUSPECT, now)

    def _ping_lost(self, now: float) -> list[Outgoing]:
        """Try an address of a dead member, a seed or a listed VM, in case one is back."""
        alone = not self.roster.live_names
        self.next_lost = now + (self.options.period if alone else self.options.retry_lost)
        lost = self.roster.lost_addresses()
        out = []
        for address in self.random.sample(lost, min(GREET if alone else 1, len(lost))):
            dead = self.roster.at(address)
            if dead is None:
                out.append(self._probe("", address, 0, now))
                continue
            out.append(self._ping(dead, now, probing=False))
        return out

    # Ends.

    def _expire_suspects(self, now: float) -> None:
        if not self.roster.suspects:
            return
        limit = self.roster.suspicion()
        for name in list(self.roster.suspects):
            member = self.roster.get(name)
            if member is not None and now - member.since >= limit:
                self._mark(member, MemberState.DEAD, now)

    def _resumed(self, gap: float, now: float) -> list[Outgoing]:
        """After a pause of this process: nobody is blamed for it, and some are asked for news."""
        self.paused_for = gap
        self._event(EventKind.PAUSED, self.me.name, now, f"{gap:.1f} s")
        self.pending.clear()
        self.relays.clear()
        self.last_heard = now
        for name in self.roster.suspects:
            self.roster.members[name].since += gap
        live = self.live()
        chosen = self.random.sample(live, min(GREET, len(live)))
        return [self._ping(member, now, probing=False) for member in chosen]

    def _forget(self, now: float) -> None:
        self.roster.forget(now)
        for number, relay in list(self.relays.items()):
            if now - relay.at > self.options.period * 2:
                del self.relays[number]

    # Building messages.

    def _to(
        self,
        member: MemberView,
        kind: Kind,
        number: int = 0,
        target: str = "",
        updates: list[Update] | None = None,
    ) -> Outgoing:
        incarnation = member.incarnation
        return Outgoing(member.address, member.name, incarnation, kind, number, target, updates)

    def _reply(
        self, message: Message, kind: Kind, number: int = 0, updates: list[Update] | None = None
    ) -> Outgoing:
        out = Outgoing(message.address, message.sender, message.incarnation, kind, number)
        out.updates = updates or []
        out.redial = message.retry
        return out

    def _event(self, kind: EventKind, name: str, now: float, detail: str = "") -> None:
        self.events.append(Event(kind, name, now, detail))


def newer(update: Update, state: MemberState, known: MemberView) -> bool:
    """Return True if an update says more than what is known of the VM."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return RANK[state] > RANK[known.state]
