"""Runs the concurrent attempts of a hedged call; the first answer wins."""

from __future__ import annotations

import curio

from ..exceptions import UpstreamFailed
from .attempt import Attempt
from .attempt_recorder import AttemptRecorder
from .exchange import Answer
from .services import ServiceState


class Race:
    """Concurrent attempts of one idempotent call.

    The loser is cancelled by closing its connection. If all fail, the last failure is raised.
    """

    __slots__ = ("recorder", "state", "running")

    def __init__(self, recorder: AttemptRecorder, state: ServiceState, attempts: list[Attempt]):
        self.recorder = recorder
        self.state = state
        self.running = attempts

    async def run(self) -> tuple[Attempt, Answer]:
        """Return the winner and its answer, and record the results of the others.

        Raises:
            UpstreamFailed: Every attempt failed.
            TaskTimeout: The timeout around this call expired; call `record_timeout`.
        """
        try:
            async with curio.TaskGroup() as group:
                for attempt in self.running:
                    await group.spawn(_run_attempt, attempt)
                return await self._first_answer(group)
        except (curio.TaskTimeout, curio.TimeoutCancellationError):
            raise
        except BaseException:
            await self._cancel_rest()
            raise

    async def record_timeout(self) -> None:
        """Record each running attempt as timed out."""
        for attempt in self.running:
            error = UpstreamFailed("No answer in time.", sent=attempt.sent, timed_out=True)
            await self.recorder.record_failure(self.state, attempt, error)
        self.running = []

    async def _first_answer(self, group: curio.TaskGroup) -> tuple[Attempt, Answer]:
        failure: UpstreamFailed | None = None
        while (task := await group.next_done()) is not None:
            attempt, answer, error = task.result
            self.running = [other for other in self.running if other is not attempt]
            if error is None:
                await group.cancel_remaining()
                await self._cancel_rest()
                return attempt, answer
            failure = error
            await self.recorder.record_failure(self.state, attempt, error)
        raise failure

    async def _cancel_rest(self) -> None:
        for attempt in self.running:
            await self.recorder.record_cancellation(self.state, attempt)
        self.running = []


async def _run_attempt(attempt: Attempt) -> tuple[Attempt, Answer | None, UpstreamFailed | None]:
    """Run an attempt and return a failure; curio would log a raised one as a crashed task."""
    try:
        return attempt, await attempt.run(), None
    except UpstreamFailed as error:
        return attempt, None, error
