"""Pings: which member is next, which answers are awaited, and for whom.

Each live member is pinged once a round, in an order drawn anew for each round, so that a dead one
is found within one round for certain and within about one period on average.
"""

from random import Random

from .base import MemberState, MemberView
from .members import LIVE, MembershipOptions, Outgoing, update_of
from .roster import Roster
from .wire import Kind, Message, Update


class Pending:
    """A ping that waits for its answer; `probing` if silence makes the member a suspect."""

    __slots__ = ("number", "name", "address", "sent", "indirect", "probing", "relay")

    def __init__(self, number: int, name: str, address: str, sent: float, probing: bool):
        self.number = number
        self.name = name
        self.address = address
        self.sent = sent
        self.indirect = False
        self.probing = probing
        self.relay: Message | None = None


class Prober:
    """Sends pings and matches their answers."""

    def __init__(self, roster: Roster, options: MembershipOptions, random: Random):
        self.roster = roster
        self.options = options
        self.random = random
        self.pending: dict[int, Pending] = {}
        self.order: list[str] = []
        self.number = 0

    def next_member(self) -> MemberView | None:
        """Return the live member whose turn it is."""
        for _ in range(2):
            while self.order:
                member = self.roster.get(self.order.pop())
                if member is not None and member.state in LIVE:
                    return member
            self.order = list(self.roster.live_names)
            self.random.shuffle(self.order)
        return None

    def ping(self, member: MemberView, now: float, probing: bool = False) -> Outgoing:
        """Ping a known member; one that is not believed alive is told so, and can contradict."""
        out = self.probe(member.name, member.address, member.incarnation, now)
        self.pending[out.number].probing = probing
        if member.state is not MemberState.ALIVE:
            out.updates = [update_of(member)]
            out.redial = True
        return out

    def probe(self, name: str, address: str, incarnation: int, now: float) -> Outgoing:
        """Ping whoever is at an address; `name` and `incarnation` are "" and 0 if unknown."""
        self.number += 1
        self.pending[self.number] = Pending(self.number, name, address, now, probing=False)
        return Outgoing(address, name, incarnation, Kind.PING, self.number)

    def ping_for(self, request: Message, now: float) -> list[Outgoing]:
        """Ping the target of a ping request on its sender's behalf."""
        member = self.roster.at(request.target)
        if member is None:
            return []
        out = self.ping(member, now)
        self.pending[out.number].relay = request
        return [out]

    def answered(self, message: Message) -> Pending | None:
        """Return the ping that a message answers and await it no more, or None."""
        pending = self.pending.get(message.number)
        if pending is None:
            return None
        if message.kind == Kind.ACK and pending.name not in ("", message.sender):
            return None
        if message.kind == Kind.INDIRECT_ACK and pending.address != message.target:
            return None
        return self.pending.pop(message.number)

    def expire(self, now: float) -> tuple[list[Outgoing], list[Pending]]:
        """Return what to send for pings that are late, and those that are given up."""
        out: list[Outgoing] = []
        given_up: list[Pending] = []
        for pending in list(self.pending.values()):
            age = now - pending.sent
            if age >= self.options.period:
                given_up.append(self.pending.pop(pending.number))
            elif pending.probing and not pending.indirect and age >= self.options.ack_timeout:
                pending.indirect = True
                out += self._ask_others(pending)
        return out, given_up

    def _ask_others(self, pending: Pending) -> list[Outgoing]:
        """Ping it again on a new connection, and ask others to ping it."""
        member = self.roster.get(pending.name)
        if member is None:
            return []
        again = to(member, Kind.PING, pending.number, updates=[update_of(member)])
        again.redial = True
        others = [m for m in self.roster.live() if m is not member]
        chosen = self.random.sample(others, min(self.options.indirect, len(others)))
        ask = [to(m, Kind.PING_REQUEST, pending.number, pending.address) for m in chosen]
        return [again, *ask]


def to(
    member: MemberView,
    kind: Kind,
    number: int = 0,
    target: str = "",
    updates: list[Update] | None = None,
) -> Outgoing:
    """Return a message for a known member."""
    incarnation = member.incarnation
    return Outgoing(member.address, member.name, incarnation, kind, number, target, updates)


def reply(
    message: Message, kind: Kind, number: int = 0, updates: list[Update] | None = None
) -> Outgoing:
    """Return an answer to a message; on a new connection if its sender missed the last one."""
    out = Outgoing(message.address, message.sender, message.incarnation, kind, number)
    out.updates = updates or []
    out.redial = message.retry
    return out
