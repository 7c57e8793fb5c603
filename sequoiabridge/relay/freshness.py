"""Bounds how old the rows of this daemon may be, whatever happens to its peers.

Each answer of the store confirms that the rows known here were the newest at some time. Watchers
tell in their heartbeats how long ago that was. A daemon that has heard of no confirmation for too
long reads the store itself, on a new connection, and tells its data centre what it learned.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from random import Random

from ..component import Component
from ..exceptions import StoreUnavailable
from ..timers import Clock, Timers
from .decisions import DecisionLog
from .follower import Follower
from .lag_bound import READ_SPREAD, LagBound
from .messages import Heartbeat

MIN_CHECK_DELAY = 0.02
"""Minimum seconds between two checks of the confirmations."""

READ_CHECK_DELAY = 0.2
"""Seconds until the next check while a read is under way or nothing is known yet."""

MIN_RETRY_DELAY = 1.0
"""Minimum seconds after a failed read until the next one."""

FLEET_RETRY_RATE = 8.0
"""Retries per second of all daemons together while the store answers none of them. Which daemon
retries next is random, so that one whom the store answers is soon among them."""


class Freshness(Component):
    """Knows how old this daemon's rows may be, and reads the store when they may be too old.

    Args:
        followers: Followers of the feeds, by the feed's name.
        bound: How late this daemon may follow the store.
        count_daemons: Returns the number of daemons of the fleet.

    Attributes:
        read_order: Returns how early this daemon reads the store (see `LagBound.max_age_at`).
        on_confirmed: Called when the store has confirmed rows to this daemon.
        on_read: Called after this daemon has read the store because of an old confirmation.
        reads: Number of such reads.
        failed_reads: Number of those that failed.
        not_before: No read before this time.
        reading: Whether a read is under way.
    """

    name = "freshness"

    def __init__(
        self,
        followers: dict[str, Follower],
        bound: LagBound,
        timers: Timers,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
        count_daemons: Callable[[], int],
    ):
        self.followers = followers
        self.bound = bound
        self.timers = timers
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.count_daemons = count_daemons
        self.read_order: Callable[[], int] = lambda: 3
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_read: Callable[[], None] = lambda: None
        self.reads = 0
        self.failed_reads = 0
        self.started_at = clock.since_boot()
        self.not_before = 0.0
        self.spread = random.uniform(0.0, READ_SPREAD)
        self.reading = False
        for follower in followers.values():
            follower.on_store_version = self.record_store_version

    def start(self) -> None:
        """Check the confirmations from now on."""
        self.started_at = self.clock.since_boot()
        if not self.bound.is_kept:
            self.decisions.event(
                "bound-too-short", bound=self.bound.seconds, worst_lag=self.bound.worst_lag
            )
        self.timers.after(READ_CHECK_DELAY, "freshness", self.check)

    def age(self, follower: Follower) -> float:
        """Return the seconds for which a feed has not been confirmed."""
        return self.clock.since_boot() - max(follower.confirmed_at, self.started_at)

    def ages(self) -> dict[str, float]:
        """Return for each confirmed feed how many seconds ago that was."""
        now = self.clock.since_boot()
        return {
            name: now - follower.confirmed_at
            for name, follower in self.followers.items()
            if follower.is_confirmed
        }

    def record_store_version(self, version: int, at: float) -> None:
        """Confirm the feeds whose rows are known up to the version that the store had at a time."""
        for follower in self.followers.values():
            if follower.version is not None and follower.version >= version:
                follower.confirm(at)
        self.on_confirmed()

    def adopt(self, heartbeat: Heartbeat, received_at: float) -> None:
        """Take over a peer's confirmations of the feeds whose changes are all known here."""
        for name, age in heartbeat.ages.items():
            follower = self.followers.get(name)
            changed = heartbeat.changed.get(name)
            if follower is None or follower.version is None or changed is None:
                continue
            if follower.version >= changed:
                follower.confirm(received_at - age)

    def check(self) -> Coroutine | None:
        """Read the feeds whose confirmation is too old; called by a timer, which it sets again."""
        delay = READ_CHECK_DELAY
        try:
            due_in = {follower: self._due_in(follower) for follower in self._checked()}
            due = [follower for follower, seconds in due_in.items() if seconds <= 0.0]
            if due and not self.reading:
                self.reading = True
                return self._read(due)
            if not self.reading:
                delay = min(due_in.values(), default=READ_CHECK_DELAY)
            return None
        finally:
            self.timers.after(max(MIN_CHECK_DELAY, delay), "freshness", self.check)

    def _checked(self) -> list[Follower]:
        """Return the followers whose confirmations are checked.

        Those without rows are read first by whoever is a watcher; those that poll a store which
        fails retry already.
        """
        return [
            follower
            for follower in self.followers.values()
            if follower.version is not None and not follower.is_retrying
        ]

    def _due_in(self, follower: Follower) -> float:
        """Return the seconds until a feed must be read here."""
        order = self.read_order()
        spread = self.spread if order >= 3 else 0.0
        due_in = self.bound.max_age_at(order) + spread - self.age(follower)
        return max(due_in, self.not_before - self.clock.since_boot())

    async def _read(self, due: list[Follower]) -> None:
        """Read feeds from the store; one answer may confirm all."""
        order = self.read_order()
        try:
            for follower in due:
                if self._due_in(follower) > 0.0:
                    continue
                self.reads += 1
                self.decisions.event(
                    "feed-overdue",
                    feed=follower.feed.name,
                    version=follower.version,
                    age_ms=round(self.age(follower) * 1000),
                    order=order,
                )
                await follower.refresh()
            self.on_read()
        except StoreUnavailable as error:
            self._record_failure(error)
        finally:
            self.spread = self.random.uniform(0.0, READ_SPREAD)
            self.reading = False

    def _record_failure(self, error: StoreUnavailable) -> None:
        """Note a failed read, and wait before the next one."""
        self.failed_reads += 1
        mean_delay = max(MIN_RETRY_DELAY, self.count_daemons() / FLEET_RETRY_RATE)
        delay = mean_delay * self.random.uniform(0.5, 1.5)
        self.not_before = self.clock.since_boot() + delay
        self.decisions.event("feed-not-read", why=str(error), retry_ms=round(delay * 1000))

    def dump(self) -> dict:
        """Describe the confirmations for the state dump."""
        return {
            "terms": self.bound.terms(),
            "ages": {name: round(age, 3) for name, age in self.ages().items()},
            "reads": self.reads,
            "failed_reads": self.failed_reads,
        }
