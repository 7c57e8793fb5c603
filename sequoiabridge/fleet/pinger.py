"""Schedules pings and matches their answers.

Each live member is pinged once per round, in an order that is shuffled for each round, so that a
failed member is detected in bounded time.
"""

from random import Random

from .base import MemberState, MemberView
from .members import LIVE_STATES, MembershipOptions, Outgoing, update_of
from .roster import Roster
from .wire import Kind, Message, Update


class PendingPing:
    """Ping that waits for its answer.

    Attributes:
        indirect_requested: Whether other members were asked to ping as well.
        suspect_on_timeout: Whether the member becomes a suspect if the ping times out.
        request: The ping request of another VM that this ping serves, if any.
    """

    __slots__ = (
        "number",
        "name",
        "address",
        "sent_at",
        "indirect_requested",
        "suspect_on_timeout",
        "request",
    )

    def __init__(
        self, number: int, name: str, address: str, sent_at: float, suspect_on_timeout: bool
    ):
        self.number = number
        self.name = name
        self.address = address
        self.sent_at = sent_at
        self.indirect_requested = False
        self.suspect_on_timeout = suspect_on_timeout
        self.request: Message | None = None


class Pinger:
    """Sends pings and matches their answers."""

    def __init__(self, roster: Roster, options: MembershipOptions, random: Random):
        self.roster = roster
        self.options = options
        self.random = random
        self.pending: dict[int, PendingPing] = {}
        self.order: list[str] = []
        self.last_number = 0

    def next_member(self) -> MemberView | None:
        """Return the next live member of the round, or None if there is none."""
        for _ in range(2):
            while self.order:
                member = self.roster.get(self.order.pop())
                if member is not None and member.state in LIVE_STATES:
                    return member
            self.order = list(self.roster.live_names)
            self.random.shuffle(self.order)
        return None

    def ping(self, member: MemberView, now: float, suspect_on_timeout: bool = False) -> Outgoing:
        """Ping a known member; if it is not alive here, include its state so that it can refute."""
        out = self.ping_address(member.name, member.address, member.incarnation, now)
        self.pending[out.number].suspect_on_timeout = suspect_on_timeout
        if member.state is not MemberState.ALIVE:
            out.updates = [update_of(member)]
            out.redial = True
        return out

    def ping_address(self, name: str, address: str, incarnation: int, now: float) -> Outgoing:
        """Ping an address; `name` is "" and `incarnation` 0 if the VM there is unknown."""
        self.last_number += 1
        self.pending[self.last_number] = PendingPing(
            self.last_number, name, address, now, suspect_on_timeout=False
        )
        return Outgoing(address, name, incarnation, Kind.PING, self.last_number)

    def ping_on_request(self, request: Message, now: float) -> list[Outgoing]:
        """Ping the target of a ping request on behalf of the sender."""
        member = self.roster.find_by_address(request.target)
        if member is None:
            return []
        out = self.ping(member, now)
        self.pending[out.number].request = request
        return [out]

    def match_answer(self, message: Message) -> PendingPing | None:
        """Remove and return the pending ping that a message answers, or None."""
        pending = self.pending.get(message.number)
        if pending is None:
            return None
        if message.kind == Kind.ACK and pending.name not in ("", message.sender):
            return None
        if message.kind == Kind.INDIRECT_ACK and pending.address != message.target:
            return None
        return self.pending.pop(message.number)

    def expire(self, now: float) -> tuple[list[Outgoing], list[PendingPing]]:
        """Return the messages for late pings, and the pings that timed out."""
        out: list[Outgoing] = []
        expired: list[PendingPing] = []
        for pending in list(self.pending.values()):
            age = now - pending.sent_at
            if age >= self.options.ping_interval:
                expired.append(self.pending.pop(pending.number))
            elif (
                pending.suspect_on_timeout
                and not pending.indirect_requested
                and age >= self.options.ack_timeout
            ):
                pending.indirect_requested = True
                out += self._request_indirect_pings(pending)
        return out, expired

    def _request_indirect_pings(self, pending: PendingPing) -> list[Outgoing]:
        """Retry a ping on a new connection, and request indirect pings from other members."""
        member = self.roster.get(pending.name)
        if member is None:
            return []
        retry = message_to(member, Kind.PING, pending.number, updates=[update_of(member)])
        retry.redial = True
        others = [m for m in self.roster.live() if m is not member]
        chosen = self.random.sample(others, min(self.options.indirect_pings, len(others)))
        requests = [
            message_to(m, Kind.PING_REQUEST, pending.number, pending.address) for m in chosen
        ]
        return [retry, *requests]


def message_to(
    member: MemberView,
    kind: Kind,
    number: int = 0,
    target: str = "",
    updates: list[Update] | None = None,
) -> Outgoing:
    """Return a message to a known member."""
    incarnation = member.incarnation
    return Outgoing(member.address, member.name, incarnation, kind, number, target, updates)


def reply_to(
    message: Message, kind: Kind, number: int = 0, updates: list[Update] | None = None
) -> Outgoing:
    """Return an answer to a message, on a new connection if the message is a retry."""
    out = Outgoing(message.address, message.sender, message.incarnation, kind, number)
    out.updates = updates or []
    out.redial = message.retry
    return out
