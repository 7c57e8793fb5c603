"""Shares what daemons observe of upstreams.

The daemons of a data centre send calls to the same upstreams. Each reports its calls and the load
reports that it receives to the others, so that each estimates the load of an upstream from the
calls of all. Failures are reported to the daemons of all data centres.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..balancing.attempt_recorder import UpstreamObserver
from ..balancing.load import UpstreamLoad
from ..balancing.upstream import Upstream
from ..balancing.upstream_stats import PEER_FAILURE_WEIGHT
from ..timers import Clock
from .channel import Channel
from .hello import Hello
from .limit_messages import LimitMessage
from .members import Members
from .messages import (
    CallFailed,
    CallSent,
    CrashMessage,
    CrashWithdrawn,
    Heartbeat,
    LoadReport,
    Message,
    PeerStopping,
    RequestBlocked,
    RequestCrashed,
    RequestSurvived,
    RequestUnblocked,
    UpstreamLeaving,
)
from .upstreams import UpstreamList


class Sharing(UpstreamObserver):
    """Records observations of upstreams, shares them with peers and records those of peers.

    Attributes:
        on_crash: Called with a peer's `RequestCrashed`.
        on_survival: Called with a peer's `RequestSurvived`.
        on_block: Called with a peer's `RequestBlocked`.
        on_withdrawal: Called with a peer's `CrashWithdrawn`.
        on_unblock: Called with a peer's `RequestUnblocked`.
        on_heartbeat: Called with a peer's `Heartbeat`.
        on_hello: Called with a peer's `Hello`.
        on_departure: Called with a peer's `UpstreamLeaving`.
        on_peer_stopping: Called with a peer's `PeerStopping`.
        on_limit_message: Called with a peer's `LimitMessage`.
    """

    def __init__(self, upstreams: UpstreamList, clock: Clock):
        self.upstreams = upstreams
        self.clock = clock
        self.channel = Channel(self._handle)
        self.members: Members | None = None
        self.on_crash: Callable[[RequestCrashed], object] = lambda message: None
        self.on_block: Callable[[RequestBlocked], object] = lambda message: None
        self.on_withdrawal: Callable[[CrashWithdrawn], object] = lambda message: None
        self.on_unblock: Callable[[RequestUnblocked], object] = lambda message: None
        self.on_heartbeat: Callable[[Heartbeat], None] = lambda message: None
        self.on_departure: Callable[[UpstreamLeaving], None] = lambda message: None
        self.on_peer_stopping: Callable[[PeerStopping], None] = lambda message: None
        self.on_hello: Callable[[Hello], None] = lambda message: None
        self.on_limit_message: Callable[[LimitMessage], None] = lambda message: None
        self.on_survival: Callable[[RequestSurvived], object] = lambda message: None

    @property
    def own_address(self) -> str:
        """Return the "IP:port" at which this daemon receives messages, "" if it has no peers."""
        return "" if self.members is None else self.members.own_hello.address

    @property
    def peer_count(self) -> int:
        """Return the number of peers."""
        return 0 if self.members is None else len(self.members.all_addresses)

    def record_send(self, upstream: Upstream) -> None:
        """Record that this daemon sends a call."""
        upstream.stats.record_send()
        if self.members is not None and self._is_shared(upstream):
            self.channel.send(CallSent(upstream.lifetime), self.members.sharing_addresses)

    def record_load_report(self, upstream: Upstream, load: UpstreamLoad) -> None:
        """Record an upstream's load report to this daemon."""
        upstream.stats.record_load_report(load, self.clock.now())
        if self.members is not None and self._is_shared(upstream):
            self.channel.send(LoadReport(upstream.lifetime, load), self.members.sharing_addresses)

    def record_failure(self, upstream: Upstream) -> None:
        """Record that a call of this daemon failed."""
        upstream.stats.record_failure(self.clock.now())
        self.broadcast(CallFailed(upstream.lifetime))

    def record_replacement(self, upstream: Upstream) -> None:
        """Record that another upstream answered at the upstream's address."""
        self.upstreams.record_replacement(upstream)

    def broadcast(self, message: Message) -> None:
        """Send a message to all peers."""
        if self.members is not None:
            self.channel.send(message, self.members.all_addresses)

    def send_to_some(self, message: Message, count: int, random: Random) -> None:
        """Send a message to `count` random peers, or to all if there are fewer."""
        if self.members is not None:
            addresses = self.members.all_addresses
            self.channel.send(message, random.sample(addresses, min(count, len(addresses))))

    def send_hello(self, hello: Hello, address: str) -> None:
        """Send this daemon's hello to one address."""
        self.channel.send(hello, [address])

    def _is_shared(self, upstream: Upstream) -> bool:
        """Return whether the peers of this data centre send calls to the upstream as well."""
        return upstream.is_local

    def _handle(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self.on_heartbeat(message)
            return
        if isinstance(message, Hello):
            if self.members is not None:
                self.members.add_peer(message)
            self.on_hello(message)
            return
        if isinstance(message, LimitMessage):
            self.on_limit_message(message)
            return
        if isinstance(message, PeerStopping):
            self.on_peer_stopping(message)
            return
        if isinstance(message, UpstreamLeaving):
            self.on_departure(message)
            return
        if isinstance(message, CrashMessage):
            self._handle_crash_message(message)
            return
        upstream = self.upstreams.find_lifetime(message.upstream)
        if upstream is None:
            return
        if isinstance(message, CallSent):
            upstream.stats.record_send()
        elif isinstance(message, LoadReport):
            upstream.stats.record_load_report(message.load, self.clock.now())
        elif isinstance(message, CallFailed):
            upstream.stats.record_failure(self.clock.now(), PEER_FAILURE_WEIGHT)

    def _handle_crash_message(self, message: CrashMessage) -> None:
        handlers = {
            RequestCrashed: self.on_crash,
            RequestSurvived: self.on_survival,
            RequestBlocked: self.on_block,
            CrashWithdrawn: self.on_withdrawal,
            RequestUnblocked: self.on_unblock,
        }
        handlers[type(message)](message)
