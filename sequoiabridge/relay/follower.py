"""Follows a feed: a full read of the store first, then long polls for changes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Generic

import curio

from ..component import Component
from ..exceptions import HistoryLost, StoreUnavailable
from ..store.rows import Changes, Rows
from ..timers import Clock
from .decisions import DecisionLog
from .entry_errors import EntryErrorLog
from .feeds import Entry, Feed, Update

LONG_POLL_TIMEOUT = 25.0
"""Seconds that a poll waits in the store for a change; the store allows at most 30. Each
poll has a price, a waiting one has none."""

CHANGE_BATCH_INTERVAL = 0.5
"""Seconds between an answer with changes and the next poll, so that bursts come in one answer."""

NEVER = float("-inf")

FIRST_RETRY_DELAY, MAX_RETRY_DELAY = 0.1, 0.4
"""Seconds before a failed call is retried; doubles up to the maximum. A VM that was cut off must
know of all upstreams that left within 3 s of its return, 2 of which it may wait for lapsed
entries."""

SLOW_RETRY_FACTOR = 10.0
"""Factor on the retry delay of daemons that learn of the store's recovery from watchers. Refused
calls have a price too: all daemons together made over 1,000 of them in 8 seconds."""


class Follower(Component, Generic[Entry]):
    """Keeps a feed up to date while the daemon runs.

    Args:
        on_snapshot: Called with the update of a full read.
        on_changes: Called with each update of changed rows.
        on_store_lost: Called when the store becomes unavailable.
        on_store_recovered: Called when the store is available again.

    Attributes:
        version: Version of the store up to which changes are known, None before the first read.
        changed_version: Version of the latest update that had changes.
        updated_at: When `version` was set last.
        confirmed_at: Time at which the known rows were still the newest in the store.
        on_store_version: Called with the store's version in each answer, and a time at which it was
            that. Times count the seconds in which the VM was suspended.
        store_unavailable: True from a failed call to the store until the next good one.
        failures: Number of failed calls in a row.
        active: This daemon polls the store; else rows come from peers by `apply_snapshot` and
            `apply_changes`.
        slow_retries: Retry less often, since watchers report when the store is available again.
        poll_timeout: Seconds that a poll may wait in the store.
        poll_sent_at: When the pending poll was sent; None if none is pending.
    """

    def __init__(
        self,
        feed: Feed[Entry],
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
        on_snapshot: Callable[[Update[Entry]], None],
        on_changes: Callable[[Update[Entry]], None],
        on_store_lost: Callable[[], None],
        on_store_recovered: Callable[[], None],
    ):
        self.feed = feed
        self.name = f"{feed.name}-feed"
        self.clock = clock
        self.random = random
        self.decisions = decisions
        self.on_snapshot = on_snapshot
        self.on_changes = on_changes
        self.on_store_lost = on_store_lost
        self.on_store_recovered = on_store_recovered
        self.version: int | None = None
        self.changed_version: int | None = None
        self.updated_at = NEVER
        self.confirmed_at = NEVER
        self.on_store_version: Callable[[int, float], None] = lambda version, at: None
        self.store_unavailable = False
        self.failures = 0
        self.active = False
        self.slow_retries = False
        self.activated = curio.Event()
        self.poll_timeout = LONG_POLL_TIMEOUT
        self.poll_sent_at: float | None = None
        self.poll_task: curio.Task | None = None
        self.repoll_requested = False
        self.entry_errors = EntryErrorLog(decisions)

    @property
    def is_confirmed(self) -> bool:
        """Return whether the store has ever confirmed the rows, here or to a peer."""
        return self.confirmed_at != NEVER

    @property
    def is_retrying(self) -> bool:
        """Return whether this daemon polls a store that fails, and soon does so again."""
        return self.active and self.store_unavailable and not self.slow_retries

    def confirm(self, at: float) -> None:
        """Note that the known rows were still the newest in the store at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    async def set_active(self, active: bool) -> None:
        """Start or stop polling; a pending poll is not cancelled."""
        self.active = active
        self.activated.clear()
        if active:
            await self.activated.set()
        if not active and self.store_unavailable:
            # Other daemons are watchers, so the store is available.
            self._record_answer(0)

    async def repoll(self) -> None:
        """Cancel the pending poll and send another that does not wait for a change."""
        self.repoll_requested = True
        if self.poll_task is not None:
            await self.poll_task.cancel(blocking=False)

    async def refresh(self) -> None:
        """Read the changes from the store on a new connection, whether or not a poll is pending.

        Raises:
            StoreUnavailable: The store gave no valid answer.
        """
        asked_at = self.clock.since_boot()
        try:
            if await self._read_now(asked_at) and self.poll_sent_at is not None:
                # The pending poll should have had these changes: its connection is silent.
                await self.repoll()
        except StoreUnavailable as error:
            if self.active:
                self._record_failure(error)
                await self.repoll()
            raise
        if self.active:
            self._record_answer(0)

    async def _read_now(self, asked_at: float) -> bool:
        """Read from the store at once; return whether there was any change."""
        try:
            found = await self.feed.check_changes(self.version)
        except HistoryLost:
            found = await self.feed.read_all()
        self.apply(found)
        self.on_store_version(found.version, asked_at)
        return isinstance(found, Changes) and bool(found.rows)

    def apply(self, rows: Rows) -> None:
        """Apply `Changes` after this daemon's version or all `Rows`, if they are newer."""
        if isinstance(rows, Changes):
            self.apply_changes(rows)
        else:
            self.apply_snapshot(rows)

    def apply_snapshot(self, rows: Rows) -> None:
        """Apply all rows, from the store or a peer, if they are newer than the present ones."""
        if self.version is not None and rows.version <= self.version:
            return
        update = self.feed.replace_rows(rows)
        self.on_snapshot(update)
        self._record_update(update, True)

    def apply_changes(self, changes: Changes) -> bool:
        """Apply changes after this daemon's version if they are newer; return whether any are."""
        if self.version is None or changes.version <= self.version:
            return False
        update = self.feed.update_rows(changes)
        if update.has_changes:
            self.on_changes(update)
        self._record_update(update, update.has_changes)
        return update.has_changes

    def rows_after(self, after: int | None) -> Rows | None:
        """Return `Changes` after a version, or all `Rows` if none is given or it is too old.

        Returns None before the first read.
        """
        if self.version is None:
            return None
        changed = None if after is None else self.feed.changes_since(after)
        if changed is not None:
            return Changes(changed, self.version)
        return Rows(list(self.feed.rows_by_key.values()), self.version)

    async def run(self) -> None:
        """Poll the store while active, until cancelled."""
        while True:
            if not self.active:
                await self.activated.wait()
            try:
                delay = await self._step()
            except HistoryLost:
                delay = self._history_lost()
            except StoreUnavailable as error:
                delay = self._record_failure(error)
            await curio.sleep(delay)

    async def _step(self) -> float:
        """Read once; return the seconds until the next read."""
        asked_at = self.clock.since_boot()
        if self.version is None:
            rows = await self.feed.read_all()
            self._record_answer(self.failures)
            self.apply_snapshot(rows)
            self.on_store_version(rows.version, asked_at)
            return 0.0
        wait = self._next_wait()
        changes = await self._poll(self.version, wait)
        if changes is None:
            return 0.0
        self._record_answer(0)
        has_changes = self.apply_changes(changes)
        waited = not changes.rows and self.clock.since_boot() >= asked_at + wait
        self.on_store_version(changes.version, asked_at + wait if waited else asked_at)
        return CHANGE_BATCH_INTERVAL if has_changes else 0.0

    def _next_wait(self) -> float:
        """Return the seconds that the next poll may wait for a change."""
        # After a failure, an answer at once shows that the store is available again.
        if self.store_unavailable or self.repoll_requested:
            return 0.0
        if self.poll_timeout >= LONG_POLL_TIMEOUT or not self.is_confirmed:
            return self.poll_timeout
        # The pause after a change must not delay the next confirmation.
        due_in = self.confirmed_at + self.poll_timeout - self.clock.since_boot()
        return min(max(0.0, due_in), self.poll_timeout)

    async def _poll(self, after: int, wait: float) -> Changes | None:
        """Poll for changes; return None if the poll was cancelled by `repoll`."""
        self.repoll_requested = False
        self.poll_sent_at = self.clock.now()
        self.poll_task = await curio.spawn(self._ask, after, wait)
        try:
            answer = await self.poll_task.join()
        except curio.TaskError as error:
            if self.repoll_requested and isinstance(error.__cause__, curio.CancelledError):
                return None
            raise error.__cause__ from None
        finally:
            await self.poll_task.cancel()
            self.poll_task = self.poll_sent_at = None
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def _ask(self, after: int, wait: float) -> Changes | StoreUnavailable | HistoryLost:
        """Return the answer to a poll; a task that raises an error would be logged as crashed."""
        try:
            return await self.feed.read_changes(after, wait)
        except (StoreUnavailable, HistoryLost) as error:
            return error

    def _record_update(self, update: Update[Entry], has_changes: bool) -> None:
        self.version = update.version
        self.updated_at = self.clock.since_boot()
        if has_changes:
            self.changed_version = update.version
        self.entry_errors.record(self.feed.name, update.problems)

    def _history_lost(self) -> float:
        """Schedule a full read; return the seconds until then, 0 unless calls failed before."""
        self.decisions.event("history-lost", feed=self.feed.name, version=self.version)
        self.version = None
        delay = 0.0 if not self.failures else FIRST_RETRY_DELAY * 2**self.failures
        self.failures += 1
        return min(MAX_RETRY_DELAY, delay)

    def _record_failure(self, error: StoreUnavailable) -> float:
        """Note a failed call; return the seconds until the retry."""
        delay = min(MAX_RETRY_DELAY, FIRST_RETRY_DELAY * 2**self.failures)
        self.failures += 1
        if not self.store_unavailable:
            self.store_unavailable = True
            self.decisions.event("store-lost", feed=self.feed.name, why=str(error))
            self.on_store_lost()
        if self.slow_retries:
            delay *= SLOW_RETRY_FACTOR
        return delay * self.random.uniform(0.5, 1.0)

    def _record_answer(self, failures: int) -> None:
        self.failures = failures
        if self.store_unavailable:
            self.store_unavailable = False
            self.decisions.event("store-regained", feed=self.feed.name, version=self.version)
            self.on_store_recovered()

    def dump(self) -> dict:
        """Describe the follower for the state dump."""
        return {"version": self.version, "lost": self.store_unavailable, "failures": self.failures}
