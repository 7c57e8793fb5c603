"""Follows what the platform's store says: a whole reading first, then each change."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import Generic, TypeVar

import curio

from ..exceptions import BadEntry, HistoryLost, StoreUnavailable
from ..parts import Part
from ..store.rows import Changes, Rows, StoredRow
from ..timers import Clock
from .decisions import DecisionLog
from .entry_errors import EntryErrorLog

LONG_POLL_TIMEOUT = 25.0
"""Seconds that a question for changes waits in the store; it allows 30. Each question costs, a
waiting one does not."""

SENTINEL_POLL_TIMEOUT = 2.0
"""The same for the watchers that are to notice when the store falls silent: it then forgets what
waits in it. Theirs is missed 2.6 s later at the latest, and all ask anew. Without it, all watchers
waited for up to 26 s, with an old configuration in force."""

CHANGE_BATCH_INTERVAL = 0.5
"""Seconds between an answer and the next question, so that a burst of changes comes in one answer:
entries of upstreams that have just started change with each heartbeat. With the beacon's 0.3 s a
change is known everywhere within a second; it must be in force within 2."""

FIRST_RETRY_DELAY, MAX_RETRY_DELAY = 0.1, 0.4
"""Seconds before a call that failed is made again; doubles up to the longest. A VM that was cut off
must know of all that left meanwhile 3 seconds after it is back, 2 of which it may spend on
waiting for lapsed entries."""

MAX_REMOVALS = 200
"""Removed rows that are remembered for daemons that ask what changed; a day of the users' grown
sites removes some dozens."""

SLOW_RETRY_FACTOR = 10.0
"""Times that delay for daemons that hear of the store's return from others: refused calls are paid
for too, and all daemons together made over 1,000 of them in 8 seconds."""

DECODING_ERRORS = (BadEntry, ValueError, KeyError, TypeError, AttributeError, ArithmeticError)
"""What decoding raises for a row that some other writer wrote. Of the configuration, which the
store takes only if it is valid, just the fields in use are decoded, unchecked."""

Entry = TypeVar("Entry")


class Update(Generic[Entry]):
    """What a reading brought.

    Attributes:
        version: The store's version that it is up to.
        entries: Entries that are new or changed; all of them in a snapshot.
        removed: Keys of entries that are gone.
        problems: Entries that cannot be used, even if they could be before.
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
        """Return whether it says anything."""
        return bool(self.entries or self.removed or self.problems)


class Feed(ABC, Generic[Entry]):
    """Something in the store that can be read whole and followed.

    Attributes:
        rows_by_key: The rows as they were read last, by key, for other daemons.

    Hooks raise `StoreUnavailable`, and `changes` raises `HistoryLost` when a new snapshot is
    needed.
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
        """Return what changed after a version, or nothing after `wait` seconds."""

    @abstractmethod
    def decode(self, row: StoredRow) -> Entry | None:
        """Return a row's entry, None if it has none; raise `BadEntry` if it cannot be used."""

    def replace_rows(self, rows: Rows) -> Update[Entry]:
        """Take in all rows."""
        fresh = {row.key: row for row in rows.rows}
        for key, row in self.rows_by_key.items():
            if key not in fresh:
                self._record_removal(StoredRow(row.table, row.part, key, None, rows.version))
        if self.history_start is None:
            self.history_start = rows.version
        self.rows_by_key = fresh
        return self._decode_rows(rows.version, self.rows_by_key.values())

    def update_rows(self, changes: Changes) -> Update[Entry]:
        """Take in changes; the latest word on each key counts."""
        latest = {row.key: row for row in changes.rows}
        for key, row in latest.items():
            if row.value is not None:
                self.rows_by_key[key] = row
                continue
            self.rows_by_key.pop(key, None)
            self._record_removal(StoredRow(row.table, row.part, key, None, changes.version))
        return self._decode_rows(changes.version, latest.values())

    def changes_since(self, after: int) -> list[StoredRow] | None:
        """Return the rows that changed after a version, None if that is not known any more."""
        if self.history_start is None or after < self.history_start:
            return None
        changed = [row for row in self.rows_by_key.values() if row.version > after]
        return changed + [row for row in self.removals if row.version > after]

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


class Follower(Part, Generic[Entry]):
    """Keeps up with one feed for as long as the daemon runs.

    Args:
        on_snapshot, on_changes: Take in what was read.
        on_store_lost: Called when the store stops answering.
        on_store_recovered: Called when the store answers again.

    Attributes:
        version: The store's version that is known here, None before the first reading.
        store_unavailable: True while the store does not answer.
        active: The store is to be followed; else others do, and `apply_snapshot` is called.
        slow_retries: Others ask often enough while the store is away, and tell when it is back.
        poll_timeout: Seconds that a question for changes may wait in the store.
        poll_sent_at: When the question was sent that waits in the store now; None if none does.
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
        """Begin or end following; a question that waits in the store is not taken back."""
        self.active = active
        self.activated.clear()
        if active:
            await self.activated.set()
        if not active and self.store_unavailable:
            # Others follow the store, so it is back.
            self._record_answer(0)

    async def repoll(self) -> None:
        """Take back the question that waits in the store, and ask for an answer at once."""
        self.repoll_requested = True
        if self.poll_task is not None:
            await self.poll_task.cancel(blocking=False)

    def apply_snapshot(self, rows: Rows) -> None:
        """Take in all rows as another daemon knows them, if they are newer."""
        if self.version is not None and rows.version <= self.version:
            return
        update = self.feed.replace_rows(rows)
        self.on_snapshot(update)
        self._record_update(update)

    def apply_changes(self, changes: Changes) -> None:
        """Take in what changed since this daemon's version, as another daemon knows it."""
        if self.version is None or changes.version <= self.version:
            return
        update = self.feed.update_rows(changes)
        self.on_changes(update)
        self._record_update(update)

    def rows_after(self, after: int | None) -> Rows | None:
        """Return what is known here: `Changes` after a version, or all `Rows` where that is not
        known or no version is given; None before the first reading."""
        if self.version is None:
            return None
        changed = None if after is None else self.feed.changes_since(after)
        if changed is not None:
            return Changes(changed, self.version)
        return Rows(list(self.feed.rows_by_key.values()), self.version)

    async def run(self) -> None:
        """Follow until cancelled."""
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
        """Read once; return the seconds until the next reading."""
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
            # Another daemon was quicker with all rows: what came is older, or in them.
            return 0.0
        update = self.feed.update_rows(changes)
        if update.has_changes:
            self.on_changes(update)
        self._record_update(update)
        return CHANGE_BATCH_INTERVAL if update.has_changes else 0.0

    async def _poll(self, after: int) -> Changes | None:
        """Ask what changed; return None if the question was taken back."""
        # After a failure the store is asked for an answer at once: it tells that it is back.
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
        """Read everything next; return the seconds until then: 0, unless it happens in a row."""
        self.decisions.event("history-lost", feed=self.feed.name, version=self.version)
        self.version = None
        delay = 0.0 if not self.failures else FIRST_RETRY_DELAY * 2**self.failures
        self.failures += 1
        return min(MAX_RETRY_DELAY, delay)

    def _record_failure(self, error: StoreUnavailable) -> float:
        """Note a failure; return the seconds until the next try."""
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
