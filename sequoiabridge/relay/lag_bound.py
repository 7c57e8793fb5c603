"""How late a daemon may follow a change in the store, as a sum of named times.

A daemon knows up to which time its rows were the newest: the store has confirmed them to it, or to
a peer that told it so. Once that is longer ago than `max_age`, it reads the store itself, whatever
its peers do. A change that the store has accepted is therefore in force here after at most

    max_age + READ_SPREAD + READ_ALLOWANCE + LATENESS_ALLOWANCE

seconds, which is the shorter one of the bounds for configurations and for leaving upstreams.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL = 0.3
"""Seconds between two heartbeats of a watcher."""

LOST_HEARTBEATS = 1
"""Number of heartbeats in a row that may be lost before a daemon reads the store itself."""

READ_SPREAD = 0.2
"""Maximum random seconds by which daemons delay such a read. The first one tells the others what
the store said, which saves their reads."""

READ_ALLOWANCE = 0.35
"""Seconds for one read of a store that works, on a new connection, and for applying its answer."""

LATENESS_ALLOWANCE = 0.15
"""Seconds by which timers and tasks of a daemon that works may be late."""

MIN_CONFIRM_INTERVAL = 0.2
MAX_CONFIRM_INTERVAL = 2.0
"""Bounds of the seconds between two confirmations by the store. The sentinel's polls, which bring
them, must also detect early that the store is unavailable."""

FEED_READ_DELAY = 0.15
"""Seconds beyond the interval after which the sentinel reads a feed that its polls of the other
feed do not confirm."""


class LagBound:
    """The times that add up to the bound on how late a daemon follows the store.

    Args:
        config_apply: Seconds after which an accepted configuration must be in force.
        drain: Seconds after which a leaving upstream must receive no more calls.

    Attributes:
        seconds: The shorter one of both.
        confirm_interval: Seconds between two confirmations by the store while all is well.
        max_age: Seconds since the latest confirmation after which any daemon reads the store.
    """

    __slots__ = ("seconds", "confirm_interval", "max_age")

    def __init__(self, config_apply: float, drain: float):
        self.seconds = min(config_apply, drain)
        own_read = READ_SPREAD + READ_ALLOWANCE + LATENESS_ALLOWANCE
        relaying = HEARTBEAT_INTERVAL * (1 + LOST_HEARTBEATS)
        interval = self.seconds - own_read - relaying
        self.confirm_interval = min(MAX_CONFIRM_INTERVAL, max(MIN_CONFIRM_INTERVAL, interval))
        self.max_age = self.confirm_interval + relaying

    @property
    def worst_lag(self) -> float:
        """Return the maximum seconds between a change and its being in force."""
        return self.max_age + READ_SPREAD + READ_ALLOWANCE + LATENESS_ALLOWANCE

    @property
    def is_kept(self) -> bool:
        """Return whether the times fit into the bound."""
        return self.worst_lag <= self.seconds + 1e-9

    def max_age_at(self, order: int) -> float:
        """Return the age of a confirmation at which a daemon reads the store itself.

        Args:
            order: 0 for the sentinel, 1 and 2 for the first and second watcher of a data centre, 3
                for other daemons. Each step leaves time to hear of the read of the one before.
        """
        if order == 0:
            return self.confirm_interval + FEED_READ_DELAY
        steps = min(order, 3) + 1
        return self.confirm_interval + (self.max_age - self.confirm_interval) * steps / 4

    def terms(self) -> dict[str, float]:
        """Return the terms of the sum by name, in seconds, and their bound."""
        return {
            "confirm_interval": self.confirm_interval,
            "heartbeats": self.max_age - self.confirm_interval,
            "read_spread": READ_SPREAD,
            "read": READ_ALLOWANCE,
            "lateness": LATENESS_ALLOWANCE,
            "bound": self.seconds,
        }
