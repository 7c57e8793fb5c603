"""The latest heartbeats of the daemons that watch the store, and their precedence."""

from __future__ import annotations

from hashlib import blake2b

from ..timers import Clock
from .hello import Hello
from .members import Members
from .messages import Heartbeat

HEARTBEAT_TIMEOUT = 1.5
"""Seconds without a heartbeat after which a watcher of this data centre counts as failed. Five
heartbeats are lost in a row then."""

REMOTE_HEARTBEAT_TIMEOUT = 4.0
"""Seconds without a heartbeat after which a watcher of another data centre counts as failed."""


class Heartbeats:
    """The latest heartbeat of each watcher.

    Attributes:
        latest: Time and heartbeat, by VM.
    """

    def __init__(self, members: Members, clock: Clock):
        self.members = members
        self.clock = clock
        self.latest: dict[str, tuple[float, Heartbeat]] = {}

    def record(self, heartbeat: Heartbeat) -> Heartbeat | None:
        """Store a heartbeat; return the one before of the same daemon, None if there is none."""
        _, before = self.latest.get(heartbeat.vm, (0.0, None))
        self.latest[heartbeat.vm] = (self.clock.now(), heartbeat)
        return before

    def forget(self, vm: str) -> None:
        """Take a daemon for failed until its next heartbeat."""
        self.latest.pop(vm, None)

    def age(self, heartbeat: Heartbeat) -> float:
        """Return the seconds since the latest heartbeat of the sender was received."""
        at, _ = self.latest.get(heartbeat.vm, (self.clock.now(), heartbeat))
        return self.clock.now() - at

    def live(self) -> list[Heartbeat]:
        """Return the latest heartbeats of all live watchers."""
        now, local_data_centre = self.clock.now(), self.members.own_hello.data_centre
        return [
            heartbeat
            for at, heartbeat in self.latest.values()
            if now - at
            <= (
                HEARTBEAT_TIMEOUT
                if heartbeat.data_centre == local_data_centre
                else REMOTE_HEARTBEAT_TIMEOUT
            )
        ]

    def connected(self) -> list[Heartbeat]:
        """Return the latest heartbeats of the live watchers that can reach the store."""
        return with_store_access(self.live())

    def remote(self) -> list[Heartbeat]:
        """Return the latest heartbeats of the live watchers of other data centres."""
        own = self.members.own_hello
        return [h for h in self.live() if h.data_centre != own.data_centre]

    def count_preferred(self, heartbeats: list[Heartbeat]) -> int:
        """Return how many of the senders are in this data centre and rank before this daemon."""
        own = self.members.own_hello
        rank = rank_of(own)
        return sum(h.data_centre == own.data_centre and rank_of(h) < rank for h in heartbeats)


def with_store_access(heartbeats: list[Heartbeat]) -> list[Heartbeat]:
    """Return the heartbeats whose senders can reach the store."""
    return [heartbeat for heartbeat in heartbeats if heartbeat.versions]


def rank_of(vm: Hello | Heartbeat) -> tuple[float, bytes]:
    """Return a key that sorts daemons of a data centre by their precedence as watchers.

    Those with the highest bandwidth come first, since watchers serve the rows to all others.
    """
    return -vm.link, digest(vm.vm)


def digest(text: str) -> bytes:
    """Return a short hash of a text, the same on all VMs."""
    return blake2b(text.encode(), digest_size=8).digest()
