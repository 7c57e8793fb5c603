"""Hedging: a call that stays silent is sent to a second upstream; the first whole answer wins."""

from __future__ import annotations

import curio

from ..exceptions import UpstreamFailed
from .accounting import Accounting
from .attempt import Attempt
from .exchange import Answer
from .services import ServiceState


class Race:
    """Two attempts at one idempotent call.

    The loser is cancelled by closing its connection. If both fail, the later failure is raised.
    """

    __slots__ = ("accounting", "state", "attempts")

    def __init__(self, accounting: Accounting, state: ServiceState, attempts: list[Attempt]):
        self.accounting = accounting
        self.state = state
        self.attempts = attempts

    async def run(self) -> tuple[Attempt, Answer]:
        """Return the winner and its answer; all others are settled.

        Raises:
            UpstreamFailed: Every attempt failed.
        """
        running = dict.fromkeys(self.attempts)
        try:
            async with curio.TaskGroup() as group:
                for attempt in self.attempts:
                    running[attempt] = await group.spawn(attempt.run)
                return await self._first_answer(group, running)
        finally:
            for attempt in running:
                await self.accounting.cancelled(self.state, attempt)

    async def _first_answer(
        self, group: curio.TaskGroup, running: dict[Attempt, curio.Task]
    ) -> tuple[Attempt, Answer]:
        failure: UpstreamFailed | None = None
        while (task := await group.next_done()) is not None:
            attempt = next(a for a, t in running.items() if t is task)
            if task.exception is None:
                del running[attempt]
                await group.cancel_remaining()
                return attempt, task.result
            if not isinstance(task.exception, UpstreamFailed):
                raise task.exception
            del running[attempt]
            failure = task.exception
            await self.accounting.failed(self.state, attempt, failure)
        raise failure
