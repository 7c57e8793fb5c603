"""Follows tables of the platform's store: a full read first, then long polls for changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import Generic, TypeVar

import curio

from ..component import Component
from ..exceptions import BadEntry, HistoryLost, StoreUnavailable
from ..store.rows import Changes, Rows, StoredRow
from ..timers import Clock
from .decisions import DecisionLog
from .entry_errors import EntryErrorLog

LONG_POLL_TIMEOUT = 25.0
"""Seconds that a poll waits in the store for a change; the store allows at most 30. Each
poll has a price, a waiting one has none."""

SENTINEL_POLL_TIMEOUT = 2.0
"""Seconds that a sentinel's poll waits; a short one notices soon that the store is unavailable.
With long polls alone, all watchers waited for up to 26 s after an outage, with an old configuration
in force."""

CHANGE_BATCH_INTERVAL = 0.5
"""Seconds between an answer with changes and the next poll, so that bursts come in one answer. With
the heartbeat's 0.3 s a change is known everywhere within a second; it must be in force within 2."""

FIRST_RETRY_DELAY, MAX_RETRY_DELAY = 0.1, 0.4
"""Seconds before a failed call is retried; doubles up to the maximum. A VM that was cut off must
know of all upstreams that left within 3 s of its return, 2 of which it may wait for lapsed
entries."""

MAX_REMOVALS = 200
"""Maximum number of removed rows that are kept to answer peers that ask for changes."""

SLOW_RETRY_FACTOR = 10.0
"""Factor on the retry delay of daemons that learn of the store's recovery from watchers. Refused
calls have a price too: all daemons together made over 1,000 of them in 8 seconds."""

DECODING_ERRORS = (BadEntry, ValueError, KeyError, TypeError, AttributeError, ArithmeticError)
"""Errors that decoding raises for a row with invalid content."""

Entry = TypeVar("Entry")


class Update(Generic[Entry]):
    """Decoded changes of a feed.

    Attributes:
        version: Version of the store after the changes.
        entries: Entries that are new or changed; all entries after a full read.
        removed: Keys of removed entries.
        problems: Errors of entries that cannot be used, including entries that were usable before.
    """

    __slots__ = ("version", "entries", "removed", "problems")

    def __init__(self, version: int):
        self.version = version
        self.entries: list[Entry] = []
        self.removed: list[str] = []
        self.problems: list[BadEntry] = []

    @property
    def unusable(self) -> list[str]:
        """Return the keys of the entries that cannot be used."""
        return [problem.key for problem in self.problems]

    @property
    def has_changes(self) -> bool:
        """Return whether there is any change."""
        return bool(self.entries or self.removed or self.problems)


class Feed(ABC, Generic[Entry]):
    """A table of the store that can be read whole and polled for changes.

    Methods that read raise `StoreUnavailable`; `read_changes` raises `HistoryLost` when all rows
    must be read again.

    Attributes:
        rows_by_key: The present rows, by key.
        removals: The latest removed rows.
        history_start: Version since which all changes are known; None before the first read.
    """

    name = "feed"

    def __init__(self) -> None:
        self.rows_by_key: dict[str, StoredRow] = {}
        self.removals: deque[StoredRow] = deque(maxlen=MAX_REMOVALS)
        self.history_start: int | None = None

    @abstractmethod
    async def read_all(self) -> Rows:
        """Return all rows."""

    @abstractmethod
    async def read_changes(self, after: int, wait: float) -> Changes:
        """Return the changes after a version; none if there is no change within `wait` seconds."""

    @abstractmethod
    def decode(self, row: StoredRow) -> Entry | None:
        """Return a row's entry, or None if it has none.

        Raises:
            BadEntry: The row cannot be used.
        """

    def replace_rows(self, rows: Rows) -> Update[Entry]:
        """Replace all rows; return the update."""
        fresh = {row.key: row for row in rows.rows}
        for key, row in self.rows_by_key.items():
            if key not in fresh:
                self._record_removal(StoredRow(row.table, row.part, key, None, rows.version))
        if self.history_start is None:
            self.history_start = rows.version
        self.rows_by_key = fresh
        return self._decode_rows(rows.version, self.rows_by_key.values())

    def update_rows(self, changes: Changes) -> Update[Entry]:
        """Apply changes; return the update. The last change of each key counts."""
        latest = {row.key: row for row in changes.rows}
        for key, row in latest.items():
            if row.value is not None:
                self.rows_by_key[key] = row
                continue
            self.rows_by_key.pop(key, None)
            self._record_removal(StoredRow(row.table, row.part, key, None, changes.version))
        return self._decode_rows(changes.version, latest.values())

    def changes_since(self, after: int) -> list[StoredRow] | None:
        """Return the rows that changed after a version; None if the history starts later."""
        if self.history_start is None or after < self.history_start:
            return None
        changed = {row.key: row for row in self.removals if row.version > after}
        # A row that was removed and is there again is present.
        changed |= {key: row for key, row in self.rows_by_key.items() if row.version > after}
        return list(changed.values())

    def _record_removal(self, row: StoredRow) -> None:
        if len(self.removals) == MAX_REMOVALS:
            self.history_start = self.removals[0].version
        self.removals.append(row)

    def _decode_rows(self, version: int, rows: Iterable[StoredRow]) -> Update[Entry]:
        update = Update(version)
        for row in rows:
            if row.value is None:
                update.removed.append(row.key)
                continue
            try:
                entry = self.decode(row)
            except DECODING_ERRORS as error:
                update.problems.append(BadEntry(problem_text(error), row.key))
                continue
            if entry is not None:
                update.entries.append(entry)
        return update


class Follower(Component, Generic[Entry]):
    """Keeps a feed up to date while the daemon runs.

    Args:
        on_snapshot: Called with the update of a full read.
        on_changes: Called with each update of changed rows.
        on_store_lost: Called when the store becomes unavailable.
        on_store_recovered: Called when the store is available again.

    Attributes:
        version: Version of the store up to which changes are known, None before the first read.
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

    def apply_snapshot(self, rows: Rows) -> None:
        """Apply all rows, from the store or a peer, if they are newer than the present ones."""
        if self.version is not None and rows.version <= self.version:
            return
        update = self.feed.replace_rows(rows)
        self.on_snapshot(update)
        self._record_update(update)

    def apply_changes(self, changes: Changes) -> None:
        """Apply a peer's changes after this daemon's version if they are newer than that."""
        if self.version is None or changes.version <= self.version:
            return
        update = self.feed.update_rows(changes)
        self.on_changes(update)
        self._record_update(update)

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
        if self.version is None:
            rows = await self.feed.read_all()
            self._record_answer(self.failures)
            self.apply_snapshot(rows)
            return 0.0
        after = self.version
        changes = await self._poll(after)
        if changes is None:
            return 0.0
        self._record_answer(0)
        if after != self.version:
            # Rows from a peer were applied meanwhile; the changes are older or included.
            return 0.0
        update = self.feed.update_rows(changes)
        if update.has_changes:
            self.on_changes(update)
        self._record_update(update)
        return CHANGE_BATCH_INTERVAL if update.has_changes else 0.0

    async def _poll(self, after: int) -> Changes | None:
        """Poll for changes; return None if the poll was cancelled by `repoll`."""
        # After a failure, an answer at once shows that the store is available again.
        return_at_once = self.store_unavailable or self.repoll_requested
        self.repoll_requested = False
        wait = 0.0 if return_at_once else self.poll_timeout
        self.poll_sent_at = self.clock.now()
        self.poll_task = await curio.spawn(self.feed.read_changes, after, wait)
        try:
            return await self.poll_task.join()
        except curio.TaskError as error:
            if self.repoll_requested and isinstance(error.__cause__, curio.CancelledError):
                return None
            raise error.__cause__ from None
        finally:
            await self.poll_task.cancel()
            self.poll_task = self.poll_sent_at = None

    def _record_update(self, update: Update[Entry]) -> None:
        self.version = update.version
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


def problem_text(error: Exception) -> str:
    """Return what is wrong with an entry, for people."""
    return str(error) if isinstance(error, BadEntry) else repr(error)
