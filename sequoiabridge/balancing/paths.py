"""Decides by which way a connection to an upstream is opened: directly, or through a peer.

A VM may lose its paths to some or all upstreams while its peers still reach them. That a connection
cannot be opened directly says nothing of the upstream until a peer has tried as well. No I/O; time
is an argument, in seconds on the daemon's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..component import Component
from .path_peers import UNHELPFUL_SECONDS, PathPeer, PathPeers

DIRECT_TIMEOUT = 0.1
"""Seconds to wait for a direct connection before a peer is asked. A round trip between data centres
takes a few milliseconds."""

PEER_TIMEOUT = 0.12
"""Seconds to wait for a connection through a peer."""

CONNECT_TIMEOUT = 0.36
"""Seconds to wait for a connection by all ways together, below the timeout of a health check."""

MIN_BACKOFF, MAX_BACKOFF = 0.25, 1.0
"""Initial and maximum seconds between checks of a path that was lost; doubles in between."""

MIN_ASK_BACKOFF, MAX_ASK_BACKOFF = 0.25, 2.0
"""The same for asking peers for an upstream that they could not reach either."""

MIN_LOST = 3
"""Number of upstreams without a path from which on the others are assumed to have none."""

MIN_UNREACHABLE = 8
"""Number of upstreams that no way leads to from which on all are assumed to be out of reach. Fewer
may have crashed together."""

EVIDENCE_SECONDS = 4.0
"""Seconds for which an attempt that failed by all ways shows that there is no way."""


class Way:
    """One way to open a connection.

    Attributes:
        peer: The peer that opens it, None for a direct connection.
        timeout: Seconds to wait for it.
    """

    __slots__ = ("peer", "timeout")

    def __init__(self, peer: PathPeer | None, timeout: float):
        self.peer = peer
        self.timeout = timeout


class FailedAttempt:
    """An attempt to open a connection that failed by all ways.

    Attributes:
        started: Time at which it began.
        peers_asked: Whether peers were asked; if not, they were asked shortly before.
        peers_tried: Whether a peer tried, and could not reach the upstream either.
        refused: Whether the direct connection was refused.
    """

    __slots__ = ("started", "peers_asked", "peers_tried", "refused")

    def __init__(
        self,
        started: float,
        peers_asked: bool = False,
        peers_tried: bool = False,
        refused: bool = False,
    ):
        self.started = started
        self.peers_asked = peers_asked
        self.peers_tried = peers_tried
        self.refused = refused


class UpstreamPath:
    """What is known of the paths to one address.

    Attributes:
        failed_at: Start of the latest direct attempt if it failed, else None.
        why: Why that attempt failed.
        failing_since: Start of the first of the direct attempts that failed in a row, else None.
        reached_by: VM of the peer that last reached the upstream since then, "" for none.
        is_lost: Whether a peer has reached the upstream since direct attempts fail.
        refused_for_peer: Whether the upstream refused a connection of a peer since then.
        unreachable_at: Start of the latest attempt if it failed by all ways, else None.
        was_refused: Whether that attempt was refused; another one costs a call no time.
        direct_failures, ask_failures: Number of failures in a row: directly, and by all ways.
        check_at: Time from which the direct path is checked again.
        ask_at: Time from which peers are asked again.
        heard_at, heard_directly_at: Latest times at which something was sent that was answered: by
            any way, and directly.
    """

    __slots__ = (
        "failed_at",
        "why",
        "failing_since",
        "reached_by",
        "is_lost",
        "refused_for_peer",
        "unreachable_at",
        "was_refused",
        "direct_failures",
        "ask_failures",
        "check_at",
        "ask_at",
        "heard_at",
        "heard_directly_at",
    )

    def __init__(self) -> None:
        self.heard_at = self.heard_directly_at = float("-inf")
        self.reset()

    def reset(self) -> None:
        """Forget failures, since the direct path works."""
        self.failed_at: float | None = None
        self.why = ""
        self.failing_since: float | None = None
        self.reached_by = ""
        self.is_lost = False
        self.refused_for_peer = False
        self.unreachable_at: float | None = None
        self.was_refused = False
        self.direct_failures = 0
        self.ask_failures = 0
        self.check_at = 0.0
        self.ask_at = 0.0


class PathTable(Component):
    """The paths of this VM to the upstreams.

    Args:
        peers: The peers that may be asked.
        listed: Returns the addresses of all upstreams.
        on_change: Called with an event's name and its fields when paths are lost or back.

    Attributes:
        by_address: Paths that have failed or been used, by the upstream's address.
        lost_since: Time from which on all direct paths are assumed to be lost, None if they are
            not.
        opened_at: Time of the latest connection that was opened by any way.
        direct_opened_at: The same of direct connections.
        heard_at, heard_directly_at: Latest times at which something was sent to any upstream that
            it answered: by any way, and directly.
    """

    name = "paths"

    def __init__(
        self,
        peers: PathPeers,
        listed: Callable[[], Iterable[str]],
        on_change: Callable[..., None] = lambda event, **fields: None,
    ):
        self.peers = peers
        self.listed = listed
        self.on_change = on_change
        self.by_address: dict[str, UpstreamPath] = {}
        self.lost_since: float | None = None
        self.opened_at = self.direct_opened_at = float("-inf")
        self.heard_at = self.heard_directly_at = float("-inf")
        self.was_isolated = False

    def ways(self, address: str, now: float) -> list[Way]:
        """Return the ways to open a connection; each is used only if those before it fail."""
        direct = Way(None, DIRECT_TIMEOUT)
        last = Way(None, CONNECT_TIMEOUT)
        path = self.by_address.get(address)
        if path is not None and now < path.ask_at:
            return [direct, last]
        through_peers = [Way(peer, PEER_TIMEOUT) for peer in self.peers.to_ask(now)]
        if self.is_lost(address):
            return [*through_peers, last]
        return [direct, *through_peers, last]

    def is_lost(self, address: str) -> bool:
        """Return whether the direct path to an address is lost, or assumed to be."""
        path = self.by_address.get(address)
        if path is None or path.failed_at is None:
            return self.lost_since is not None
        return path.is_lost or self.lost_since is not None

    def may_reuse_direct(self, address: str, last_received_at: float) -> bool:
        """Return whether an open direct connection that received data then may be reused."""
        path = self.by_address.get(address)
        failed_at = path.failed_at if path is not None else None
        if failed_at is None:
            failed_at = self.lost_since
        return failed_at is None or last_received_at >= failed_at

    def may_reuse_through(self, address: str, vm: str) -> bool:
        """Return whether an open connection through a peer may be reused."""
        peer = self.peers.by_vm.get(vm)
        return peer is not None and not peer.stopping and self.is_lost(address)

    def record_direct(self, address: str, now: float) -> None:
        """Record that a direct connection was opened."""
        self.opened_at = self.direct_opened_at = now
        path = self.by_address.get(address)
        if path is not None and path.failed_at is not None:
            if path.is_lost:
                lost_for = round(now - path.failing_since, 3)
                self.on_change("path-back", address=address, after=lost_for)
            path.reset()
        if self.lost_since is not None:
            self.on_change("paths-back", after=round(now - self.lost_since, 3))
            self.lost_since = None

    def record_direct_failure(self, address: str, started: float, why: str, now: float) -> None:
        """Record that no direct connection could be opened, and why."""
        path = self._path(address)
        path.failed_at, path.why = started, why
        if path.failing_since is None:
            path.failing_since = started
        backoff = min(MAX_BACKOFF, MIN_BACKOFF * 2**path.direct_failures)
        path.direct_failures += 1
        path.check_at = now + backoff * self.peers.random.uniform(0.5, 1.0)

    def record_through_peer(self, address: str, peer: PathPeer, now: float) -> None:
        """Record that a peer opened a connection."""
        if not peer.is_helpful(now):
            self._ask_again()
        peer.helped_at, peer.unhelpful_until = now, float("-inf")
        self.opened_at = now
        path = self._path(address)
        path.unreachable_at, path.ask_failures, path.refused_for_peer = None, 0, False
        if path.failed_at is None:
            return
        path.reached_by = peer.vm
        if not path.is_lost:
            path.is_lost = True
            since = round(now - path.failing_since, 3)
            self.on_change(
                "path-lost", address=address, peer=peer.vm, failing_for=since, why=path.why
            )
        self._update_lost()

    def record_peer_failure(self, peer: PathPeer, now: float) -> None:
        """Record that a peer could not be reached, or has no path itself."""
        peer.unhelpful_until = now + UNHELPFUL_SECONDS

    def record_refused_for_peer(self, address: str) -> None:
        """Record that an upstream refused a connection that a peer tried to open."""
        self._path(address).refused_for_peer = True

    def record_unreachable(self, address: str, attempt: FailedAttempt, now: float) -> None:
        """Record that no connection could be opened by any way."""
        path = self._path(address)
        if attempt.peers_tried:
            backoff = min(MAX_ASK_BACKOFF, MIN_ASK_BACKOFF * 2**path.ask_failures)
            path.ask_failures += 1
            path.ask_at = now + backoff * self.peers.random.uniform(0.5, 1.0)
        if attempt.peers_asked or not self.peers.to_ask(now):
            path.unreachable_at, path.was_refused = attempt.started, attempt.refused

    def record_answer(self, address: str, is_direct: bool, sent_at: float) -> None:
        """Record that an upstream has answered something that was sent at `sent_at`."""
        path = self._path(address)
        path.heard_at = max(path.heard_at, sent_at)
        self.heard_at = max(self.heard_at, sent_at)
        if is_direct:
            path.heard_directly_at = max(path.heard_directly_at, sent_at)
            self.heard_directly_at = max(self.heard_directly_at, sent_at)

    def has_heard_directly(self, address: str, since: float) -> bool:
        """Return whether an upstream directly answered something sent later than `since`."""
        path = self.by_address.get(address)
        return path is not None and path.heard_directly_at > since

    def is_refused_for_all(self, address: str) -> bool:
        """Return whether nothing listens at an address that refuses this VM's connections.

        Without peers, nobody else can tell.
        """
        path = self.by_address.get(address)
        return not self.peers.by_vm or (path is not None and path.refused_for_peer)

    @property
    def has_unreachable(self) -> bool:
        """Return whether the latest attempt at any address failed by all ways."""
        return any(path.unreachable_at is not None for path in self.by_address.values())

    def is_isolated(self, now: float) -> bool:
        """Return whether neither this VM nor a peer that it asked reaches any upstream."""
        count = self._unreachable_count(now)
        isolated = count >= max(1, min(MIN_UNREACHABLE, len(list(self.listed()))))
        if isolated != self.was_isolated:
            self.was_isolated = isolated
            self.on_change("no-path" if isolated else "path-found", upstreams=count)
        return isolated

    def are_out_of_reach(self, addresses: Iterable[str], now: float) -> bool:
        """Return whether no way leads to any of these addresses; there must be one at least.

        An address that refuses connections may accept the next one, and costs a call no time.
        """
        paths = [self.by_address.get(address) for address in addresses]
        return bool(paths) and all(
            path is not None and not path.was_refused and _has_no_way(path, now) for path in paths
        )

    def must_ask(self, address: str, now: float) -> bool:
        """Return whether peers are to be asked if an upstream whose direct path fails is alive."""
        path = self._path(address)
        return not path.is_lost and now >= path.ask_at

    def due_checks(self, now: float, count: int) -> list[str]:
        """Return up to `count` addresses to check: those whose direct paths have failed, and others
        while it looks as if none can be reached."""
        due = [
            address
            for address, path in self.by_address.items()
            if path.failed_at is not None and now >= path.check_at
        ]
        if self._unreachable_count(now) >= MIN_LOST:
            due += [one for one in self.listed() if self._has_not_failed(one)]
        return self.peers.random.sample(due, min(count, len(due)))

    def retain_listed(self) -> None:
        """Forget the paths to addresses that are listed no more."""
        listed = set(self.listed())
        for address in [one for one in self.by_address if one not in listed]:
            del self.by_address[address]

    def dump(self) -> dict:
        """Describe the paths that fail for the state dump; times are those of `up` in the log."""
        return {
            "all_lost_since": self.lost_since,
            "isolated": self.was_isolated,
            "failing": {
                address: {
                    "since": round(path.failing_since, 3),
                    "why": path.why,
                    "reached_by": path.reached_by,
                    "no_way_at": path.unreachable_at,
                }
                for address, path in self.by_address.items()
                if path.failing_since is not None
            },
            "helpful_peers": [p.vm for p in self.peers.by_vm.values() if p.helped_at > 0.0],
        }

    def _path(self, address: str) -> UpstreamPath:
        path = self.by_address.get(address)
        if path is None:
            path = self.by_address[address] = UpstreamPath()
        return path

    def _ask_again(self) -> None:
        """Let peers be asked for every upstream, since one has been found that can help."""
        for path in self.by_address.values():
            path.ask_at, path.ask_failures = 0.0, 0

    def _has_not_failed(self, address: str) -> bool:
        path = self.by_address.get(address)
        return path is None or path.failed_at is None

    def _unreachable_count(self, now: float) -> int:
        """Return the number of upstreams out of reach, 0 if any has been reached since."""
        reached_at = max(self.opened_at, self.heard_at)
        return sum(
            _has_no_way(path, now) and path.unreachable_at > reached_at
            for path in self.by_address.values()
        )

    def _update_lost(self) -> None:
        """Assume all direct paths to be lost once enough of them are and none works."""
        worked_at = max(self.direct_opened_at, self.heard_directly_at)
        lost = [
            path.failed_at
            for path in self.by_address.values()
            if path.is_lost and path.failed_at > worked_at
        ]
        needed = min(MIN_LOST, len(list(self.listed())))
        if self.lost_since is None and len(lost) >= needed:
            self.lost_since = min(lost)
            self.on_change("paths-lost", upstreams=len(lost))


def _has_no_way(path: UpstreamPath, now: float) -> bool:
    """Return whether the latest attempt failed by all ways, and nothing was heard since."""
    at = path.unreachable_at
    return at is not None and now - at <= EVIDENCE_SECONDS and at > path.heard_at
