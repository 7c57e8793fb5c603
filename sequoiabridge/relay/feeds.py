"""Tables of the platform's store that can be read whole and polled for changes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable
from typing import Generic, TypeVar

from ..exceptions import BadEntry
from ..store.rows import Changes, Rows, StoredRow

MAX_REMOVALS = 200
"""Maximum number of removed rows that are kept to answer peers that ask for changes."""

DECODING_ERRORS = (
    BadEntry,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
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

    async def check_changes(self, after: int) -> Changes:
        """Return the changes after a version that there are now, by a connection that works."""
        return await self.read_changes(after, 0.0)

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


def problem_text(error: Exception) -> str:
    """Return what is wrong with an entry, for people."""
    return str(error) if isinstance(error, BadEntry) else repr(error)
