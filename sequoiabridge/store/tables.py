"""Interface of the platform's table service that the relay uses."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from .rows import Changes, Condition, Rows, Write


class Tables(ABC):
    """Rows in named tables. Rows are read or watched, and changed by conditional transactions.

    All methods raise `StoreUnavailable` if the store gave no valid answer, and `StoreRefused` if
    it answered that it did nothing.
    """

    @abstractmethod
    async def rows(
        self, table: str, part: str = "", start: str = "", end: str = "", limit: int = 0
    ) -> Rows:
        """Return the rows of a part of a table whose keys are in the range from `start` to `end`.

        `end` is exclusive. All rows are returned, or the first `limit` if it is not 0.
        """

    @abstractmethod
    async def changes(self, table: str, after: int, wait: float, fresh: bool = False) -> Changes:
        """Return the rows of a table that changed after version `after`; wait for a change.

        Args:
            wait: Maximum number of seconds to wait. No changes are returned if there was none.
            fresh: Use a new connection, since open ones may be silent.

        Raises:
            HistoryLost: The store no longer has the changes since `after`. Read all rows instead.
        """

    @abstractmethod
    async def transact(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Make all writes if all conditions hold, otherwise none; return the store's new version.

        Raises:
            ConditionFailed: A condition did not hold.
        """
