"""Group commit: transactions that wait at the same time go to the table service as one."""

import curio
from expression import Result

from .admission import FAIR_WAIT, AdmissionControl, store_error
from .base import Condition, StoreError, StoreErrorKind, TableService, Write
from .groups import MAX_ROWS, Waiting, merged, take_group
from .rates import Priority

MAX_FLIGHTS = 4
"""Calls on their way at one time; what comes meanwhile waits and goes as a group."""


class Committer:
    """Sends waiting transactions, grouped where their rows allow.

    When the condition of one member fails, the whole group writes nothing and is sent again in
    halves, at last singly. When the answer to a group is lost, each member is `UNKNOWN`, and
    settles by its own token.
    """

    def __init__(self, admission: AdmissionControl, tables: TableService, grouping: bool = True):
        self.admission = admission
        self.clock = admission.clock
        self.tables = tables
        self.grouping = grouping
        self.waiting: list[Waiting] = []
        self.flights = curio.Semaphore(MAX_FLIGHTS)
        self.arrived = curio.Event()
        self.dispatching = False

    async def transact(
        self,
        conditions: list[Condition],
        writes: list[Write],
        timeout: float,
        priority: Priority,
    ) -> Result[None, StoreError]:
        """Make all writes if all conditions hold; at most `timeout` seconds."""
        self.admission.counts.asked += 1
        entry = Waiting(conditions, writes, priority, self.clock.now() + timeout)
        self.waiting.append(entry)
        try:
            await self._wake()
            await curio.timeout_after(timeout, entry.done.wait)
        except curio.TaskTimeout:
            return self._timed_out(entry)
        finally:
            entry.given_up = True
            if not entry.taken:
                self.waiting.remove(entry)
        return entry.result

    def _timed_out(self, entry: Waiting) -> Result:
        if entry.result is not None:
            return entry.result
        if entry.taken:
            return store_error(StoreErrorKind.UNKNOWN, "no answer in time; read back the token")
        text = "no room in this VM's share of the write rate; try again later"
        return store_error(StoreErrorKind.NOT_SENT, text)

    async def _wake(self) -> None:
        await self.arrived.set()
        if not self.dispatching:
            self.dispatching = True
            await curio.spawn(self._dispatch, daemon=True)

    async def _dispatch(self) -> None:
        try:
            while self.waiting:
                await self.flights.acquire()
                if not await self._pay():
                    await self.flights.release()
                    return
                group = take_group(self.waiting, self.grouping, self._room())
                self.admission.writes.tokens -= self._cost(group) - 1
                await curio.spawn(self._fly, group, daemon=True)
        finally:
            self.dispatching = False

    async def _pay(self) -> bool:
        # The most urgent that waits pays; a claim that arrives later need not wait behind others.
        while self.waiting:
            urgent = min(entry.priority for entry in self.waiting)
            admission = self.admission
            wait = admission.writes.take(self.clock.now(), admission.live_count(), urgent)
            if wait <= 0:
                return True
            self.arrived.clear()
            async with curio.ignore_after(wait):
                await self.arrived.wait()
        return False

    def _room(self) -> int:
        # Where each row counts, a group is no larger than what is paid for already.
        paid = 1 + int(max(0.0, self.admission.writes.tokens))
        return min(MAX_ROWS, paid) if self.admission.count_rows else MAX_ROWS

    def _cost(self, group: list[Waiting]) -> int:
        return sum(len(entry.writes) for entry in group) if self.admission.count_rows else 1

    async def _fly(self, group: list[Waiting]) -> None:
        try:
            await self._commit(group)
        finally:
            lost = store_error(StoreErrorKind.UNKNOWN, "cut off; read back the token")
            for entry in group:
                await entry.finish(lost)
            await self.flights.release()

    async def _commit(self, group: list[Waiting]) -> None:
        left = max(entry.deadline for entry in group) - self.clock.now()
        left = max(left, FAIR_WAIT)
        self.admission.counts.writes += 1
        self.admission.counts.grouped += len(group) if len(group) > 1 else 0
        result = await self.tables.transact(*merged(group), left)
        self.admission.judge(result, self.admission.writes, left)
        if len(group) > 1 and _condition_failed(result):
            await self._split(group)
            return
        for entry in group:
            await entry.finish(result)
        await self._refuse_waiting()

    async def _split(self, group: list[Waiting]) -> None:
        self.admission.counts.splits += 1
        half = len(group) // 2
        for part in (group[:half], group[half:]):
            wanted = [entry for entry in part if not entry.given_up]
            if not wanted:
                continue
            urgent = min(entry.priority for entry in wanted)
            deadline = max(entry.deadline for entry in wanted)
            share, cost = self.admission.writes, self._cost(wanted)
            if await self.admission.pay(share, urgent, deadline, cost):
                await self._commit(wanted)

    async def _refuse_waiting(self) -> None:
        # Those who wait when the breaker opens learn it at once; nothing of them was sent.
        if not self.admission.breaker.is_open:
            return
        text = "the platform's store does not answer; try again later"
        refusal = store_error(StoreErrorKind.NOT_SENT, text)
        for entry in list(self.waiting):
            await entry.finish(refusal)


def _condition_failed(result: Result) -> bool:
    return result.is_error() and result.error.kind is StoreErrorKind.CONDITION_FAILED
