"""Timer service: components subscribe callbacks that it calls once or periodically.

Times are seconds on a monotonic clock, which is injected so that tests can control it.
"""

import heapq
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from functools import partial
from itertools import count

import curio

from .lateness import Lateness
from .logs import get_log

log = get_log("timers")

Callback = Callable[[], Coroutine | None]

MAX_WAIT_SECONDS = 3600.0
"""Maximum number of seconds that the timer service sleeps at a time."""


SUSPENDED_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Id of the monotonic clock that also runs while the VM is suspended, if the system has one."""


class Clock(ABC):
    """Source of time."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds on a monotonic clock."""

    def since_boot(self) -> float:
        """Return seconds on a monotonic clock that also runs while the VM is suspended."""
        return self.now()

    @abstractmethod
    def wall(self) -> float:
        """Return the Unix time in seconds, for logs and stored records."""


class SystemClock(Clock):
    """The clocks of this VM, without a wrapper since they are read often."""

    now = staticmethod(time.monotonic)
    wall = staticmethod(time.time)
    since_boot = staticmethod(partial(time.clock_gettime, SUSPENDED_CLOCK))


class ManualClock(Clock):
    """A clock that moves only by `advance`; for tests and policy benchmarks."""

    __slots__ = ("time", "offset")

    def __init__(self, start: float = 0.0, offset: float = 1_700_000_000.0):
        self.time = start
        self.offset = offset

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time + self.offset

    def advance(self, seconds: float) -> None:
        """Move time forward by `seconds`."""
        self.time += seconds


class Subscription:
    """A callback subscribed to the timer service."""

    __slots__ = ("name", "due_at", "interval", "callback", "cancelled")

    def __init__(self, name: str, due_at: float, interval: float | None, callback: Callback):
        self.name = name
        self.due_at = due_at
        self.interval = interval
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Stop calling the callback."""
        self.cancelled = True


class OnDemandTimer:
    """Calls a callback every `interval` seconds, but only while there is work.

    `wake` starts the periodic calls and must be called whenever work is added. The calls end when
    `needed` returns false, so that an idle process is not woken.
    """

    __slots__ = ("timers", "interval", "name", "callback", "needed", "subscription")

    def __init__(
        self,
        timers: "Timers",
        interval: float,
        name: str,
        callback: Callback,
        needed: Callable[[], bool],
    ):
        self.timers = timers
        self.interval = interval
        self.name = name
        self.callback = callback
        self.needed = needed
        self.subscription: Subscription | None = None

    def wake(self) -> None:
        """Start the periodic calls, unless they are running."""
        if self.subscription is None:
            self.subscription = self.timers.every(self.interval, self.name, self._run_if_needed)

    def _run_if_needed(self) -> Coroutine | None:
        if self.needed():
            return self.callback()
        self.subscription.cancel()
        self.subscription = None
        return None


class Timers:
    """The timer service.

    Callbacks are plain functions, called one after the other. If a callback returns a coroutine,
    `run` spawns it as a task.

    Attributes:
        lateness: How late callbacks are called.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.lateness = Lateness()
        self.heap: list[tuple[float, int, Subscription]] = []
        self.sequence = count()
        self.changed = curio.UniversalEvent()
        self.wake_at = 0.0

    def every(self, interval: float, name: str, callback: Callback) -> Subscription:
        """Call `callback` every `interval` seconds, first after one interval."""
        due_at = self.clock.now() + interval
        return self._add(Subscription(name, due_at, interval, callback))

    def after(self, delay: float, name: str, callback: Callback) -> Subscription:
        """Call `callback` once, in `delay` seconds."""
        return self._add(Subscription(name, self.clock.now() + delay, None, callback))

    def run_due(self) -> list[Coroutine]:
        """Call all callbacks that are due and return the coroutines that they returned."""
        now = self.clock.now()
        started: list[Coroutine] = []
        if self.heap:
            self.lateness.record(self.heap[0][0], now)
        while self.heap and self.heap[0][0] <= now:
            _, _, subscription = heapq.heappop(self.heap)
            if subscription.cancelled:
                continue
            self._reschedule(subscription, now)
            try:
                result = subscription.callback()
            except Exception:
                # A component that fails must not stop the timers of the others.
                log.exception("timer callback %r failed", subscription.name)
                continue
            if result is not None:
                started.append(result)
        return started

    def next_due(self) -> float:
        """Return the seconds until the next callback, at most `MAX_WAIT_SECONDS`."""
        if not self.heap:
            return MAX_WAIT_SECONDS
        return max(0.0, min(MAX_WAIT_SECONDS, self.heap[0][0] - self.clock.now()))

    async def run(self) -> None:
        """Call the callbacks when they are due, until cancelled."""
        while True:
            for coroutine in self.run_due():
                await curio.spawn(coroutine, daemon=True)
            wait = self.next_due()
            self.wake_at = self.lateness.due_at = self.clock.now() + wait
            async with curio.ignore_after(wait):
                await self.changed.wait()
            self.changed.clear()

    def dump(self) -> list[dict]:
        """Return the subscriptions for the state dump."""
        now = self.clock.now()
        live = [entry[2] for entry in sorted(self.heap) if not entry[2].cancelled]
        return [{"name": s.name, "due_s": round(s.due_at - now, 3)} for s in live]

    def _reschedule(self, subscription: Subscription, now: float) -> None:
        if subscription.interval is None or subscription.cancelled:
            return
        # Calls that were missed while the process was paused are skipped.
        subscription.due_at = max(subscription.due_at + subscription.interval, now)
        heapq.heappush(self.heap, (subscription.due_at, next(self.sequence), subscription))

    def _add(self, subscription: Subscription) -> Subscription:
        heapq.heappush(self.heap, (subscription.due_at, next(self.sequence), subscription))
        if subscription.due_at < self.wake_at:
            self.lateness.due_at = subscription.due_at
            self.changed.set()
        return subscription
