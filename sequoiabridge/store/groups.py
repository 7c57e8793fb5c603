"""Group commit: chooses the queued transactions that are sent to the table service as one."""

import curio
from expression import Result

from .base import Condition, StoreError, Write
from .rates import Priority

MAX_GROUP_ROWS = 25
"""Maximum number of rows that one group writes."""

MAX_GROUP_BYTES = 256 * 1024
"""Maximum total size, in bytes, of the values that one group writes."""


class QueuedTransaction:
    """A transaction that waits to be sent.

    Attributes:
        keys: Tables and keys of all rows that it reads or writes.
        size: Size of its values in bytes.
        dequeued: It was added to a group and may have been sent.
        abandoned: Nobody waits for the result any more.
        result: The result, or None while it is not known.
        done: Set once the result is known.
    """

    __slots__ = (
        "conditions",
        "writes",
        "priority",
        "deadline",
        "keys",
        "size",
        "dequeued",
        "abandoned",
        "result",
        "done",
    )

    def __init__(
        self,
        conditions: list[Condition],
        writes: list[Write],
        priority: Priority,
        deadline: float,
    ):
        self.conditions = conditions
        self.writes = writes
        self.priority = priority
        self.deadline = deadline
        self.keys = {(row.table, row.key) for row in (*conditions, *writes)}
        self.size = sum(len(write.value or b"") for write in writes)
        self.dequeued = False
        self.abandoned = False
        self.result: Result[None, StoreError] | None = None
        self.done = curio.Event()

    async def set_result(self, result: Result[None, StoreError]) -> None:
        """Set the result if there is none yet, and wake the task that waits for it."""
        if self.result is None:
            self.result = result
            await self.done.set()


def dequeue_group(
    queue: list[QueuedTransaction], grouping: bool = True, max_rows: int = MAX_GROUP_ROWS
) -> list[QueuedTransaction]:
    """Remove the transactions to send next from `queue`, by priority and then by age.

    Transactions that use the same row depend on each other and are never in one group.
    """
    group: list[QueuedTransaction] = []
    keys: set[tuple[str, str]] = set()
    rows = size = 0
    for entry in sorted((e for e in queue if e.result is None), key=lambda e: e.priority):
        if group and (rows + len(entry.writes) > max_rows or not _fits(entry, keys, size)):
            continue
        group.append(entry)
        keys |= entry.keys
        rows += len(entry.writes)
        size += entry.size
        if not grouping:
            break
    for entry in group:
        entry.dequeued = True
        queue.remove(entry)
    return group


def merge_group(group: list[QueuedTransaction]) -> tuple[list[Condition], list[Write]]:
    """Return the conditions and the writes of all transactions of a group."""
    conditions = [condition for entry in group for condition in entry.conditions]
    return conditions, [write for entry in group for write in entry.writes]


def _fits(entry: QueuedTransaction, keys: set, size: int) -> bool:
    return size + entry.size <= MAX_GROUP_BYTES and keys.isdisjoint(entry.keys)
