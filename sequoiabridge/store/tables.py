"""The platform's table service as the relay needs it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from .rows import Changes, Condition, Rows, Write


class Tables(ABC):
    """Rows in named tables, read whole or followed, changed by conditional transactions.

    All calls raise `StoreUnavailable` when no good answer came, `StoreRefused` when the store
    said that it did nothing.
    """

    @abstractmethod
    async def rows(
        self, table: str, part: str = "", start: str = "", end: str = "", limit: int = 0
    ) -> Rows:
        """Return rows of a part of a table with keys from `start` up to, not with, `end`.

        All of them, or the first `limit`.
        """

    @abstractmethod
    async def changes(self, table: str, after: int, wait: float) -> Changes:
        """Return the rows of a table that changed after a version; wait until there is one.

        Args:
            wait: Seconds after which an empty answer comes.

        Raises:
            HistoryLost: The store does not know what changed since; read all rows.
        """

    @abstractmethod
    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Make all writes if all conditions hold, else none; return the store's new version.

        Raises:
            ConditionFailed: A condition did not hold.
        """
