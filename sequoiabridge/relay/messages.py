"""Messages between daemons, each a small datagram that may be lost."""

from __future__ import annotations

from ..balancing.load import UpstreamLoad
from .hello import Hello
from .limit_messages import LimitMessage

SENT, LOAD, FAILED = "sent", "load", "failed"
CRASHED, SURVIVED, BLOCKED, HEARTBEAT = "crashed", "survived", "blocked", "beacon"
WITHDRAWN, UNBLOCKED = "withdrawn", "unblocked"
LEAVING = "leaving"
STOPPING = "stopping"
"""Message types: the first element of a datagram, which is a JSON list."""


class CallSent:
    """A daemon has just sent a call to an upstream.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [SENT, self.upstream]


class LoadReport:
    """An upstream has just reported its load.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream", "load")

    def __init__(self, upstream: str, load: UpstreamLoad):
        self.upstream = upstream
        self.load = load

    def fields(self) -> list:
        """Return the datagram's elements."""
        load = self.load
        return [LOAD, self.upstream, load.running, load.waiting, load.slots, load.slowdown]


class CallFailed:
    """A call to an upstream has just failed.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [FAILED, self.upstream]


class RequestCrashed:
    """An upstream died while it ran a request.

    Attributes:
        fingerprint: Hash of the request.
        upstream: Name of the upstream's lifetime.
        age: Seconds since the upstream died.
        answered_age: Seconds since the latest answered run was sent, None if none is known.
    """

    __slots__ = ("fingerprint", "upstream", "age", "answered_age")

    def __init__(
        self,
        fingerprint: str,
        upstream: str,
        age: float = 0.0,
        answered_age: float | None = None,
    ):
        self.fingerprint = fingerprint
        self.upstream = upstream
        self.age = age
        self.answered_age = answered_age

    def fields(self) -> list:
        """Return the datagram's elements."""
        answered_age = None if self.answered_age is None else round(self.answered_age, 3)
        return [CRASHED, self.fingerprint, self.upstream, round(self.age, 1), answered_age]


class RequestSurvived:
    """A request that was suspected of crashing upstreams was answered.

    Attributes:
        fingerprint: Hash of the request.
        age: Seconds since the answered run was sent.
    """

    __slots__ = ("fingerprint", "age")

    def __init__(self, fingerprint: str, age: float = 0.0):
        self.fingerprint = fingerprint
        self.age = age

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [SURVIVED, self.fingerprint, round(self.age, 3)]


class CrashWithdrawn:
    """An upstream that counted as crashed has answered again.

    Attributes:
        upstream: Name of the upstream's lifetime.
        age: Seconds since what it has answered was sent.
    """

    __slots__ = ("upstream", "age")

    def __init__(self, upstream: str, age: float):
        self.upstream = upstream
        self.age = age

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [WITHDRAWN, self.upstream, round(self.age, 3)]


class RequestUnblocked:
    """The block of a request has ended, since upstreams that counted as crashed answered again.

    Attributes:
        fingerprint: Hash of the request.
        age: Seconds since the block ended.
    """

    __slots__ = ("fingerprint", "age")

    def __init__(self, fingerprint: str, age: float = 0.0):
        self.fingerprint = fingerprint
        self.age = age

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [UNBLOCKED, self.fingerprint, round(self.age, 3)]


class RequestBlocked:
    """A request is blocked because it crashes upstreams.

    Attributes:
        fingerprint: Hash of the request.
        age: Seconds since it was blocked.
        trials: Number of trials that were taken since.
        reply_to: "IP:port" of the sender, which is told if the block has ended; "" for none.
        trial_age: Seconds since the latest trial, 0 before the first.
    """

    __slots__ = ("fingerprint", "age", "trials", "reply_to", "trial_age")

    def __init__(
        self,
        fingerprint: str,
        age: float,
        trials: int,
        reply_to: str = "",
        trial_age: float = 0.0,
    ):
        self.fingerprint = fingerprint
        self.age = age
        self.trials = trials
        self.reply_to = reply_to
        self.trial_age = trial_age

    def fields(self) -> list:
        """Return the datagram's elements."""
        age, trial_age = round(self.age, 3), round(self.trial_age, 3)
        return [BLOCKED, self.fingerprint, age, self.trials, self.reply_to, trial_age]


class Heartbeat:
    """Announces the feeds of a watcher, a daemon that polls the store.

    Attributes:
        vm: Name of its VM.
        data_centre: Data centre of its VM.
        address: "IP:port" at which its feeds can be read.
        versions: Version of each feed, by the feed's name; empty while it cannot reach the store.
        link: Bandwidth of its VM's link in Mbit/s.
        changed: Version of the latest change of each feed that the watcher knows.
        ages: Seconds since the store confirmed that there is no later one, by the feed's name;
            without feeds that it has not confirmed.
    """

    __slots__ = ("vm", "data_centre", "address", "versions", "link", "changed", "ages")

    def __init__(
        self,
        vm: str,
        data_centre: str,
        address: str,
        versions: dict[str, int],
        link: float,
        changed: dict[str, int] | None = None,
        ages: dict[str, float] | None = None,
    ):
        self.vm = vm
        self.data_centre = data_centre
        self.address = address
        self.versions = versions
        self.link = link
        self.changed = versions if changed is None else changed
        self.ages = ages or {}

    def fields(self) -> list:
        """Return the datagram's elements."""
        ages = {name: round(age, 3) for name, age in self.ages.items()}
        own = [HEARTBEAT, self.vm, self.data_centre, self.address, self.versions, self.link]
        return [*own, self.changed, ages]


class UpstreamLeaving:
    """An upstream has said that it leaves.

    Attributes:
        upstream: Name of the upstream's lifetime.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream: str):
        self.upstream = upstream

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [LEAVING, self.upstream]


class PeerStopping:
    """A daemon stops, and opens no more connections for its peers.

    Attributes:
        vm: Name of its VM.
    """

    __slots__ = ("vm",)

    def __init__(self, vm: str):
        self.vm = vm

    def fields(self) -> list:
        """Return the datagram's elements."""
        return [STOPPING, self.vm]


CrashMessage = RequestCrashed | RequestSurvived | RequestBlocked | CrashWithdrawn | RequestUnblocked
"""Messages about requests that crash upstreams."""

Message = (
    Hello
    | CallSent
    | LoadReport
    | CallFailed
    | Heartbeat
    | UpstreamLeaving
    | PeerStopping
    | CrashMessage
    | LimitMessage
)
