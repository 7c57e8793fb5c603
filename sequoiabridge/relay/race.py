"""Runs the concurrent attempts of one call."""

from __future__ import annotations

from collections import deque

import curio

from ..tracebacks import drop_traceback
from .attempt import Attempt


class Race:
    """Runs attempts as tasks and returns them in the order in which they end.

    Attributes:
        started: All attempts.
    """

    __slots__ = ("started", "running", "ended", "wake")

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self.running: dict[Attempt, curio.Task] = {}
        self.ended: deque[Attempt] = deque()
        self.wake = curio.Event()

    async def start(self, attempt: Attempt) -> None:
        """Start an attempt."""
        self.started.append(attempt)
        self.running[attempt] = await curio.spawn(self._run(attempt), daemon=True)

    async def next_ended(self, timeout: float) -> Attempt | None:
        """Return the next attempt that ended, None if none does within `timeout` seconds.

        Attempts whose answers have arrived end first, also if `timeout` is not positive.
        """
        if not self.ended:
            async with curio.ignore_after(max(0.0, timeout)):
                await self.wake.wait()
        self.wake.clear()
        return self.ended.popleft() if self.ended else None

    async def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt if it is running; `next_ended` returns it."""
        task = self.running.get(attempt)
        if task is not None:
            await task.cancel()

    async def cancel_all(self) -> None:
        """Cancel all running attempts at once; each closes its connection."""
        tasks = list(self.running.values())
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()

    async def close_answers(self, winner: Attempt | None) -> None:
        """Close the answers of all attempts but the winner; those that are streamed own links."""
        for attempt in self.started:
            answer = attempt.answer
            if attempt is not winner and answer is not None and answer.body is not None:
                await answer.body.close()

    async def _run(self, attempt: Attempt) -> None:
        try:
            await attempt.run()
        except curio.CancelledError as error:
            drop_traceback(error)
            raise
        finally:
            self.running.pop(attempt, None)
            self.ended.append(attempt)
            await self.wake.set()
