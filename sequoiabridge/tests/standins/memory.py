"""In-memory stand-ins of the platform's services, with faults that tests switch on.

Versions of a row begin again at 1 after a delete: nothing promises that they do not. Each call
is kept in a log, so that an oracle can judge by the platform's own record.
"""

from collections.abc import Awaitable, Callable
from enum import Enum

import curio
import msgspec
from expression import Error, Ok, Result

from ...store.base import (
    Condition,
    ListedVm,
    ObjectStore,
    Row,
    StoreError,
    StoreErrorKind,
    TableService,
    VmList,
    Write,
)
from ...timers import Clock

ALWAYS = 1 << 30
"""Count of a fault that does not end by itself."""

Sleep = Callable[[float], Awaitable[None]]


class Fate(Enum):
    """What becomes of one write."""

    PLAIN = "plain"
    DOWN = "down"
    REJECTED = "rejected"
    LOST_WRITE = "lost-write"
    LOST_ANSWER = "lost-answer"
    LATE = "late"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to produce; the counts say how many of the next calls are hit.

    Attributes:
        down: Connections are refused: nothing is sent.
        slow: Seconds that each call takes; over its timeout, the effect comes without an answer.
        reject: Writes answered with a refusal.
        lose_writes: Writes that never take effect and get no answer.
        lose_answers: Writes that take effect and get no answer.
        late: Writes without an answer whose effect comes later, by `land_late`.
        late_after: Seconds after which the stand-in process lands a late write.
        lose_reads: Reads without an answer.
        list_lag: Seconds by which the VM list lags.
        down_after: Writes that still take effect and are answered before `down` begins.
    """

    down: bool = False
    down_after: int = 0
    slow: float = 0.0
    reject: int = 0
    lose_writes: int = 0
    lose_answers: int = 0
    late: int = 0
    late_after: float = 2.0
    lose_reads: int = 0
    list_lag: float = 0.0

    def hits(self, name: str) -> bool:
        """Use up one count of the fault `name`; true if there was one."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True

    def write_fate(self) -> Fate:
        """Choose the fate of the next write."""
        if self.down:
            return Fate.DOWN
        if self.hits("reject"):
            return Fate.REJECTED
        if self.hits("lose_writes"):
            return Fate.LOST_WRITE
        if self.hits("lose_answers"):
            return Fate.LOST_ANSWER
        return Fate.LATE if self.hits("late") else Fate.PLAIN


class Operation(msgspec.Struct, frozen=True):
    """One line of the log: what was asked, and whether it took effect."""

    name: str
    conditions: list[Condition]
    writes: list[Write]
    effect: bool


def failed(kind: StoreErrorKind, message: str) -> Result:
    """Return the error result of a call."""
    return Error(StoreError(kind, message))


def unanswered(fate: Fate) -> Result:
    """Return what the client learns of a write with such a fate."""
    if fate is Fate.DOWN:
        return failed(StoreErrorKind.NOT_SENT, "connection refused; try again later")
    if fate is Fate.REJECTED:
        return failed(StoreErrorKind.REJECTED, "over the rate; slow down")
    return failed(StoreErrorKind.UNKNOWN, "no answer in time; read back what was written")


class MemoryTables(TableService):
    """The table service in memory; several clients may share one."""

    def __init__(self, faults: Faults | None = None, sleep: Sleep = curio.sleep):
        self.faults = faults or Faults()
        self.sleep = sleep
        self.rows: dict[tuple[str, str], Row] = {}
        self.log: list[Operation] = []
        self.waiting: list[tuple[list[Condition], list[Write]]] = []

    def apply(self, conditions: list[Condition], writes: list[Write]) -> bool:
        """Make the writes if the conditions hold now; true if they did."""
        effect = all(self.version(c.table, c.key) == c.version for c in conditions)
        self.log.append(Operation("transact", conditions, writes, effect))
        if not effect:
            return False
        for write in writes:
            self.put(write)
        if self.faults.hits("down_after") and not self.faults.down_after:
            self.faults.down = True
        return True

    def version(self, table: str, key: str) -> int:
        row = self.rows.get((table, key))
        return row.version if row else 0

    def put(self, write: Write) -> None:
        name = (write.table, write.key)
        if write.value is None:
            self.rows.pop(name, None)
            return
        self.rows[name] = Row(write.table, write.key, write.value, self.version(*name) + 1)

    def land_late(self) -> int:
        """Let the late writes reach the tables now; return how many took effect."""
        waiting, self.waiting = self.waiting, []
        return sum(self.apply(conditions, writes) for conditions, writes in waiting)

    def find(self, table: str, prefix: str, after: str, limit: int) -> list[Row]:
        keys = sorted(k for t, k in self.rows if t == table and k.startswith(prefix) and k > after)
        return [self.rows[(table, key)] for key in keys[:limit]]

    async def transact(self, conditions, writes, timeout):
        fate = self.faults.write_fate()
        if fate in (Fate.DOWN, Fate.REJECTED, Fate.LOST_WRITE):
            self.log.append(Operation(fate.value, conditions, writes, False))
            return unanswered(fate)
        if fate is Fate.LATE:
            self.waiting.append((conditions, writes))
            return unanswered(fate)
        effect = self.apply(conditions, writes)
        if fate is Fate.LOST_ANSWER or not await self._answers(timeout):
            return unanswered(Fate.LOST_ANSWER)
        if not effect:
            return failed(StoreErrorKind.CONDITION_FAILED, "a condition did not hold; read again")
        return Ok(None)

    async def read(self, table, key, timeout):
        error = await self._read_error(timeout)
        return Ok(self.rows.get((table, key))) if error is None else error

    async def scan(self, table, prefix, after, limit, timeout):
        error = await self._read_error(timeout)
        return Ok(self.find(table, prefix, after, limit)) if error is None else error

    async def _answers(self, timeout: float) -> bool:
        if self.faults.slow <= 0:
            return True
        await self.sleep(min(self.faults.slow, timeout))
        return self.faults.slow <= timeout

    async def _read_error(self, timeout: float) -> Result | None:
        if self.faults.down:
            return unanswered(Fate.DOWN)
        if self.faults.hits("lose_reads") or not await self._answers(timeout):
            return unanswered(Fate.LOST_ANSWER)
        return None


class MemoryObjects(ObjectStore):
    """The object store in memory."""

    def __init__(self, faults: Faults | None = None, sleep: Sleep = curio.sleep):
        self.tables = MemoryTables(faults, sleep)
        self.faults = self.tables.faults

    @property
    def objects(self) -> dict[str, bytes]:
        """The objects by name, as stored now."""
        return {key: row.value for (_, key), row in self.tables.rows.items()}

    def land_late(self) -> int:
        """Let the late writes take effect now; return how many did."""
        return self.tables.land_late()

    async def put(self, name, data, timeout):
        write = Write("objects", name, bytes(data))
        return await self.tables.transact([Condition("objects", name, 0)], [write], timeout)

    async def get(self, name, timeout):
        row = await self.tables.read("objects", name, timeout)
        return row.map(lambda found: found.value if found else None)

    async def delete(self, name, timeout):
        return await self.tables.transact([], [Write("objects", name, None)], timeout)

    async def names(self, prefix, after, limit, timeout):
        rows = await self.tables.scan("objects", prefix, after, limit, timeout)
        return rows.map(lambda found: [row.key for row in found])


class MemoryVmList(VmList):
    """The VM list in memory; `set` changes it, and readers see that `list_lag` later."""

    def __init__(self, clock: Clock, vms: list[ListedVm] | None = None, faults=None):
        self.clock = clock
        self.faults = faults or Faults()
        self.history: list[tuple[float, list[ListedVm]]] = [(float("-inf"), vms or [])]

    def set(self, vms: list[ListedVm]) -> None:
        """Change the list as of now."""
        self.history.append((self.clock.now(), list(vms)))

    def seen(self) -> list[ListedVm]:
        """Return the list as the platform shows it now."""
        limit = self.clock.now() - self.faults.list_lag
        return next(vms for at, vms in reversed(self.history) if at <= limit)

    async def vms(self, timeout):
        if self.faults.down:
            return unanswered(Fate.DOWN)
        if self.faults.hits("lose_reads"):
            return unanswered(Fate.LOST_ANSWER)
        return Ok(self.seen())
