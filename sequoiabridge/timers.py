"""One timer service: parts subscribe to it and it calls them when their time has come.

The clock is injected, so that tests move time by hand. Times are seconds on a monotonic clock.
"""

import heapq
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from itertools import count

import curio

from .logs import get_log

log = get_log("timers")

Callback = Callable[[], Coroutine | None]

MAX_WAIT_SECONDS = 3600.0
"""Seconds to sleep when nothing is subscribed."""


class Clock(ABC):
    """Source of time."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds on a clock that never goes back."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since 1970 in UTC, for logs, records and people."""


class SystemClock(Clock):
    """The clocks of this VM; a call reads them some twenty times, so nothing is put around them."""

    now = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class ManualClock(Clock):
    """A clock that moves only when told to; for tests and policy benchmarks."""

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
    """One entry of the timer service; `cancel` ends it."""

    __slots__ = ("name", "due_at", "interval", "callback", "cancelled")

    def __init__(self, name: str, due_at: float, interval: float | None, callback: Callback):
        self.name = name
        self.due_at = due_at
        self.interval = interval
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        """Never call the callback again."""
        self.cancelled = True


class OnDemandTimer:
    """Calls a callback each `interval` seconds, but only while there is something to do.

    Whoever makes work calls `wake`, which is cheap while awake. Once `needed` says that nothing
    is left, the subscription ends, so that an idle process is not woken for nothing.
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
        """Call the callback from now on, unless that is so already."""
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

    Callbacks are plain functions, called one after the other. A callback that returns a
    coroutine has it run as a task of its own by `run`; `run_due` alone returns such coroutines.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.heap: list[tuple[float, int, Subscription]] = []
        self.sequence = count()
        self.changed = curio.UniversalEvent()
        self.wake_at = 0.0

    def every(self, interval: float, name: str, callback: Callback) -> Subscription:
        """Call `callback` each `interval` seconds, first after one interval."""
        due_at = self.clock.now() + interval
        return self._add(Subscription(name, due_at, interval, callback))

    def after(self, delay: float, name: str, callback: Callback) -> Subscription:
        """Call `callback` once, in `delay` seconds."""
        return self._add(Subscription(name, self.clock.now() + delay, None, callback))

    def run_due(self) -> list[Coroutine]:
        """Call all callbacks whose time has come and return the coroutines they gave back."""
        now = self.clock.now()
        started: list[Coroutine] = []
        while self.heap and self.heap[0][0] <= now:
            _, _, subscription = heapq.heappop(self.heap)
            if subscription.cancelled:
                continue
            self._reschedule(subscription, now)
            try:
                result = subscription.callback()
            except Exception:
                # One part's fault must not end the timers of all others.
                log.exception("%s failed; it is called again when due.", subscription.name)
                continue
            if result is not None:
                started.append(result)
        return started

    def next_due(self) -> float:
        """Return the seconds until the next callback, at most `IDLE_WAIT`."""
        if not self.heap:
            return MAX_WAIT_SECONDS
        return max(0.0, min(MAX_WAIT_SECONDS, self.heap[0][0] - self.clock.now()))

    async def run(self) -> None:
        """Serve subscriptions until cancelled; the daemon runs this as one task."""
        while True:
            for coroutine in self.run_due():
                await curio.spawn(coroutine, daemon=True)
            wait = self.next_due()
            self.wake_at = self.clock.now() + wait
            async with curio.ignore_after(wait):
                await self.changed.wait()
            self.changed.clear()

    def dump(self) -> list[dict]:
        """Describe the subscriptions for the state dump."""
        now = self.clock.now()
        live = [entry[2] for entry in sorted(self.heap) if not entry[2].cancelled]
        return [{"name": s.name, "due_s": round(s.due_at - now, 3)} for s in live]

    def _reschedule(self, subscription: Subscription, now: float) -> None:
        if subscription.interval is None or subscription.cancelled:
            return
        # After a pause of the whole process the missed calls are not made up for.
        subscription.due_at = max(subscription.due_at + subscription.interval, now)
        heapq.heappush(self.heap, (subscription.due_at, next(self.sequence), subscription))

    def _add(self, subscription: Subscription) -> Subscription:
        heapq.heappush(self.heap, (subscription.due_at, next(self.sequence), subscription))
        if subscription.due_at < self.wake_at:
            self.changed.set()
        return subscription
