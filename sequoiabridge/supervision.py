"""Keeps the long-lived tasks of a daemon running."""

from __future__ import annotations

from collections.abc import Callable, Coroutine

import curio

from .logs import get_log
from .timers import Clock

log = get_log("supervision")

FIRST_RESTART_DELAY, MAX_RESTART_DELAY = 0.1, 5.0
"""Seconds before a task that failed is started again; doubles up to the maximum."""

STABLE_SECONDS = 10.0
"""Seconds after which a task that runs counts as sound again."""


class Supervisor:
    """Starts long-lived tasks, and starts each of them again when it ends by an error.

    A task that returns has done its work and is not started again.

    Args:
        on_failure: Called with a task's name, its error and the seconds until it is started again.

    Attributes:
        tasks: The running tasks, in the order of their start.
        failures: Number of errors of each task, by its name; without those that had none.
    """

    def __init__(
        self,
        clock: Clock,
        on_failure: Callable[[str, BaseException, float], None] = lambda name, error, delay: None,
    ):
        self.clock = clock
        self.on_failure = on_failure
        self.tasks: list[curio.Task] = []
        self.failures: dict[str, int] = {}

    async def start(self, name: str, function: Callable[..., Coroutine], *args) -> curio.Task:
        """Run `function(*args)` as a task; return the task."""
        task = await curio.spawn(self._keep_running, name, function, args, daemon=True)
        self.tasks.append(task)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks, the latest first."""
        while self.tasks:
            await self.tasks.pop().cancel()

    async def _keep_running(
        self, name: str, function: Callable[..., Coroutine], args: tuple
    ) -> None:
        delay = FIRST_RESTART_DELAY
        while True:
            began = self.clock.now()
            try:
                await function(*args)
                return
            except (Exception, curio.TaskTimeout) as error:
                if self.clock.now() - began >= STABLE_SECONDS:
                    delay = FIRST_RESTART_DELAY
                self.failures[name] = self.failures.get(name, 0) + 1
                log.exception("The task %r failed; it starts again in %.1f s.", name, delay)
                self.on_failure(name, error, delay)
            await curio.sleep(delay)
            delay = min(MAX_RESTART_DELAY, 2 * delay)
