"""Runs curio on a clock of its own: time jumps to the next timer as soon as all tasks wait.

A run of many seconds takes milliseconds and gives the same result each time. Tasks belong to an
`Owner`, which can be frozen and thawed as SIGSTOP and SIGCONT do with a process, or killed.
"""

import logging
import selectors
import sys
from types import SimpleNamespace

import curio
from curio import kernel as curio_kernel
from curio.sched import SchedBarrier
from curio.task import Task

from ...exceptions import SequoiaError
from ...timers import Clock

EPSILON = 1e-9
"""Added to each jump, so that rounding never leaves a timer a hair in the future."""


class VirtualClock(Clock):
    """The clock that the kernel and all parts share; starts at zero."""

    OFFSET = 1_700_000_000.0

    def __init__(self):
        self.time = 0.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time + self.OFFSET


class Owner:
    """What a group of tasks stands for: one VM."""

    def __init__(self, name: str):
        self.name = name
        self.frozen = False
        self.parked = SchedBarrier()

    def freeze(self) -> None:
        """Let none of the tasks run on; one that is never thawed counts as killed."""
        self.frozen = True

    async def thaw(self) -> None:
        """Let the tasks run on, with what they waited for."""
        self.frozen = False
        await self.parked.wake()


class OwnedTask(Task):
    """A task that belongs to the owner of the task that spawned it."""

    running: "OwnedTask | None" = None

    def __init__(self, coro, parent=None):
        super().__init__(coro, parent)
        self.owner = OwnedTask.running.owner if OwnedTask.running else None
        self.held: list = []
        self.cancellable = True

    def __hash__(self) -> int:
        # Curio keeps waiting tasks in sets: the order of waking must be the same in each run.
        return self.id

    def send(self, value):
        """Run on, unless the owner is frozen: then wait, out of reach of timeouts too."""
        OwnedTask.running = self
        if self.owner is not None and self.owner.frozen:
            if not self.held:
                self.held, self.cancellable = [value], self.allow_cancel
            self.allow_cancel = False
            return ("trap_sched_wait", self.owner.parked, "FROZEN")
        if self.held:
            value, self.held = self.held[0], []
            self.allow_cancel = self.cancellable
        return self._send(value)


async def adopt(owner: Owner, function, *args) -> curio.Task:
    """Spawn `function(*args)` as the first task of `owner`."""
    spawner = OwnedTask.running
    before, spawner.owner = spawner.owner, owner
    task = await curio.spawn(function, *args, daemon=True)
    spawner.owner = before
    return task


class CrashList:
    """Takes the place of the log of Curio's kernel and keeps the tasks that crashed.

    An error kind of the project's own is not a crash: the task that waits for it takes it in.
    """

    def __init__(self):
        self.found: list[str] = []

    def error(self, message: str, task: Task, exc_info: bool) -> None:
        """Keep what the kernel says of a task that ended with an exception."""
        if not isinstance(task.exception, SequoiaError):
            self.found.append(f"{task.name}: {task.exception!r}")


class Stuck(AssertionError):
    """All tasks wait for something that can never come."""


class JumpingSelector(selectors.DefaultSelector):
    """Moves the clock in place of waiting; sockets are looked at first."""

    def __init__(self, clock: VirtualClock, limit: float):
        super().__init__()
        self.clock = clock
        self.limit = limit

    def select(self, timeout=None):
        events = super().select(0)
        if events or timeout == 0:
            return sorted(events, key=lambda event: event[0].fd)
        if timeout is None or self.clock.time > self.limit:
            raise Stuck(f"nothing can happen any more at {self.clock.time:.3f} s")
        self.clock.time += max(0.0, timeout) + EPSILON
        return []


def run(clock: VirtualClock, main, *args, limit: float = 600.0, crashes: CrashList | None = None):
    """Run `main(*args)` in a kernel on `clock` and return its result.

    Raises `Stuck` when nothing can happen any more, or `limit` seconds of the clock have passed.
    Nothing is logged meanwhile; tasks that crash are noted in `crashes`.
    """
    kernel = curio.Kernel(selector=JumpingSelector(clock, limit), taskcls=OwnedTask)
    real = curio_kernel.time, curio_kernel.log
    curio_kernel.time = SimpleNamespace(monotonic=clock.now)
    curio_kernel.log = crashes or CrashList()
    logging.disable(logging.CRITICAL)
    OwnedTask.running = None
    try:
        return kernel.run(main, *args)
    finally:
        OwnedTask.running = None
        curio_kernel.time, curio_kernel.log = SimpleNamespace(monotonic=clock.now), CrashList()
        drop(kernel)
        curio_kernel.time, curio_kernel.log = real
        logging.disable(logging.NOTSET)


def drop(kernel: curio.Kernel) -> None:
    """Throw a kernel away with all its tasks, which are not asked to clean up."""
    hook, sys.unraisablehook = sys.unraisablehook, lambda unraisable: None
    for task in list(kernel._tasks.values()):
        task.joined, task._last_io = True, None
        try:
            task._run_coro.close()
        except RuntimeError:
            continue
    kernel._tasks.clear()
    kernel._runner = None
    for function in kernel._shutdown_funcs or ():
        function()
    kernel._shutdown_funcs = None
    sys.unraisablehook = hook
