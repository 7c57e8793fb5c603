"""Data types of the membership protocol: options, outgoing messages and events."""

from enum import Enum

from .base import MemberState, MemberView
from .wire import Kind, Update


class MembershipOptions:
    """Options of the membership protocol; times are in seconds.

    Attributes:
        ping_interval: Interval between pings, and timeout of a ping.
        ack_timeout: Time without an answer after which indirect pings are requested.
        indirect_pings: Number of members asked to ping on behalf of this VM.
        suspicion_timeout: Time in which a suspect can refute, before scaling with fleet size.
        tombstone_lifetime: Time for which members that died or left are remembered.
        unreachable_ping_interval: Interval between pings of addresses without a live member.
        pause_threshold: Gap between ticks that counts as a pause of this process.
        isolation_timeout: Time without any message after which unanswered pings again make
            members suspects.
    """

    __slots__ = (
        "ping_interval",
        "ack_timeout",
        "indirect_pings",
        "suspicion_timeout",
        "tombstone_lifetime",
        "unreachable_ping_interval",
        "pause_threshold",
        "isolation_timeout",
    )

    def __init__(
        self,
        ping_interval: float = 1.0,
        ack_timeout: float = 0.4,
        indirect_pings: int = 3,
        suspicion_timeout: float = 3.0,
        tombstone_lifetime: float = 600.0,
        unreachable_ping_interval: float = 2.0,
        pause_threshold: float = 2.0,
        isolation_timeout: float = 10.0,
    ):
        self.ping_interval = ping_interval
        self.ack_timeout = ack_timeout
        self.indirect_pings = indirect_pings
        self.suspicion_timeout = suspicion_timeout
        self.tombstone_lifetime = tombstone_lifetime
        self.unreachable_ping_interval = unreachable_ping_interval
        self.pause_threshold = pause_threshold
        self.isolation_timeout = isolation_timeout


class EventKind(Enum):
    """Kind of a membership event."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    REFUTED = "refuted"
    DIED = "died"
    LEFT = "left"
    REPLACED = "replaced"
    PAUSED = "paused"
    DECLARED_DEAD = "declared-dead"
    NAME_CONFLICT = "name-conflict"


class Event:
    """Membership event of the VM `name`; `detail` is a text for the log."""

    __slots__ = ("kind", "name", "at", "detail")

    def __init__(self, kind: EventKind, name: str, at: float, detail: str = ""):
        self.kind = kind
        self.name = name
        self.at = at
        self.detail = detail


class Outgoing:
    """Message to be sent; the sender adds sequence number, version, queued updates and items.

    `redial` requests a new connection, because a message on the old one was not answered.
    """

    __slots__ = (
        "address",
        "name",
        "to_incarnation",
        "kind",
        "number",
        "target",
        "updates",
        "redial",
    )

    def __init__(
        self,
        address: str,
        name: str,
        to_incarnation: int,
        kind: Kind,
        number: int = 0,
        target: str = "",
        updates: list[Update] | None = None,
        redial: bool = False,
    ):
        self.address = address
        self.name = name
        self.to_incarnation = to_incarnation
        self.kind = kind
        self.number = number
        self.target = target
        self.updates = updates or []
        self.redial = redial


LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
STATE_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
"""Precedence of states of the same incarnation; the highest wins."""


def update_of(member: MemberView) -> Update:
    """Return the update that announces a member's state."""
    return Update(
        member.name, member.address, member.data_centre, member.incarnation, int(member.state)
    )


def state_of(update: Update) -> MemberState | None:
    """Return the state in an update, or None if this version does not define it."""
    try:
        return MemberState(update.state)
    except ValueError:
        return None
