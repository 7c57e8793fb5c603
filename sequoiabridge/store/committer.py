"""Group commit: sends transactions that wait at the same time to the table service as one."""

import curio
from expression import Result

from .admission import MIN_FAILURE_TIMEOUT, AdmissionControl, store_error
from .base import Condition, StoreError, StoreErrorKind, TableService, Write
from .groups import MAX_GROUP_ROWS, QueuedTransaction, dequeue_group, merge_group
from .rates import Priority

MAX_CALLS_IN_FLIGHT = 4
"""Maximum number of calls in flight. Transactions queue and are grouped meanwhile."""


class Committer:
    """Sends queued transactions, in groups where their rows allow it.

    If a condition of one transaction fails, the group writes nothing and is sent again in halves,
    down to single transactions. If the answer to a group is lost, the outcome of each of its
    transactions is `UNKNOWN`.
    """

    def __init__(self, admission: AdmissionControl, tables: TableService, grouping: bool = True):
        self.admission = admission
        self.clock = admission.clock
        self.tables = tables
        self.grouping = grouping
        self.queue: list[QueuedTransaction] = []
        self.in_flight_limit = curio.Semaphore(MAX_CALLS_IN_FLIGHT)
        self.arrived = curio.Event()
        self.dispatching = False

    async def transact(
        self,
        conditions: list[Condition],
        writes: list[Write],
        timeout: float,
        priority: Priority,
    ) -> Result[None, StoreError]:
        """Make all writes if all conditions hold, otherwise none, within `timeout` seconds."""
        self.admission.counts.asked += 1
        entry = QueuedTransaction(conditions, writes, priority, self.clock.now() + timeout)
        self.queue.append(entry)
        try:
            await self._wake()
            await curio.timeout_after(timeout, entry.done.wait)
        except curio.TaskTimeout:
            return self._timed_out(entry)
        finally:
            entry.abandoned = True
            if not entry.dequeued:
                self.queue.remove(entry)
        return entry.result

    def _timed_out(self, entry: QueuedTransaction) -> Result:
        if entry.result is not None:
            return entry.result
        if entry.dequeued:
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
            while self.queue:
                await self.in_flight_limit.acquire()
                if not await self._wait_for_token():
                    await self.in_flight_limit.release()
                    return
                group = dequeue_group(self.queue, self.grouping, self._max_group_rows())
                self.admission.writes.tokens -= self._cost(group) - 1
                await curio.spawn(self._send_group, group, daemon=True)
        finally:
            self.dispatching = False

    async def _wait_for_token(self) -> bool:
        # The token is taken at the highest priority in the queue, again after each arrival, so that
        # a claim does not wait behind transactions of lower priority.
        while self.queue:
            priority = min(entry.priority for entry in self.queue)
            admission = self.admission
            wait = admission.writes.take(self.clock.now(), admission.live_count(), priority)
            if wait <= 0:
                return True
            self.arrived.clear()
            async with curio.ignore_after(wait):
                await self.arrived.wait()
        return False

    def _max_group_rows(self) -> int:
        # If each row costs a token, the available tokens limit the size of the group.
        affordable = 1 + int(max(0.0, self.admission.writes.tokens))
        return min(MAX_GROUP_ROWS, affordable) if self.admission.count_rows else MAX_GROUP_ROWS

    def _cost(self, group: list[QueuedTransaction]) -> int:
        return sum(len(entry.writes) for entry in group) if self.admission.count_rows else 1

    async def _send_group(self, group: list[QueuedTransaction]) -> None:
        try:
            await self._commit(group)
        finally:
            cancelled = store_error(
                StoreErrorKind.UNKNOWN, "the call was cancelled; read back the token"
            )
            for entry in group:
                await entry.set_result(cancelled)
            await self.in_flight_limit.release()

    async def _commit(self, group: list[QueuedTransaction]) -> None:
        remaining = max(entry.deadline for entry in group) - self.clock.now()
        remaining = max(remaining, MIN_FAILURE_TIMEOUT)
        self.admission.counts.writes += 1
        self.admission.counts.grouped += len(group) if len(group) > 1 else 0
        result = await self.tables.transact(*merge_group(group), remaining)
        self.admission.record_result(result, self.admission.writes, remaining)
        if len(group) > 1 and _condition_failed(result):
            await self._commit_halves(group)
            return
        for entry in group:
            await entry.set_result(result)
        await self._refuse_queued()

    async def _commit_halves(self, group: list[QueuedTransaction]) -> None:
        self.admission.counts.splits += 1
        half = len(group) // 2
        for part in (group[:half], group[half:]):
            active = [entry for entry in part if not entry.abandoned]
            if not active:
                continue
            priority = min(entry.priority for entry in active)
            deadline = max(entry.deadline for entry in active)
            share, cost = self.admission.writes, self._cost(active)
            if await self.admission.wait_for_token(share, priority, deadline, cost):
                await self._commit(active)

    async def _refuse_queued(self) -> None:
        # Queued transactions fail as soon as the breaker opens. None of them was sent.
        if not self.admission.breaker.is_open:
            return
        text = "the platform's store does not answer; try again later"
        refusal = store_error(StoreErrorKind.NOT_SENT, text)
        for entry in list(self.queue):
            await entry.set_result(refusal)


def _condition_failed(result: Result) -> bool:
    return result.is_error() and result.error.kind is StoreErrorKind.CONDITION_FAILED
