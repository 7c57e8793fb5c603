"""The faults that a stand-in upstream can be told to show, each off by default."""

from collections import deque
from random import Random

import msgspec


class Faults(msgspec.Struct, kw_only=True):
    """What is wrong with the stand-in now; shares are 0 to 1 of the requests."""

    drain: int = 0
    """Not 0: it is leaving, and says so with its own incarnation."""
    shed: float = 0.0
    """Share refused before it runs, and said to be so."""
    fail: float = 0.0
    """Share answered 500 at once; recorded as run, because the answer proves nothing else."""
    slow: float = 1.0
    """Factor on the time of all work: a straggler."""
    cold_s: float = 0.0
    """Seconds over which a start-up slowness fades away."""
    cold_factor: float = 10.0
    """Factor on the time of work right after the start of a cold period."""
    lie_in_flight: int = -1
    """Work in flight that is reported whatever the truth; -1 = the truth."""
    report_lag_ms: int = 0
    """Age of the load that is reported, said truthfully in `age_ms`."""
    report_lag_hidden: bool = False
    """Reports `age_ms=0` although they lag."""
    late_ms: float = 0.0
    """Time for which a finished answer is held back."""
    cut: float = 0.0
    """Share of answers that break off in the middle of the body."""
    lost: float = 0.0
    """Share of answers that never leave: run, then the connection is closed."""
    hang: float = 0.0
    """Share of answers to reads, without a length, that hang after their first part."""
    endless: float = 0.0
    """Share of answers to reads whose body never ends."""
    crash_mark: str = "crash-me"
    """A request whose `x-mark` header has this value ends the process once it runs."""


class Noise:
    """Noisy neighbours: times of slowness that come and go, drawn from a seeded source."""

    __slots__ = ("random", "share", "factor", "period", "slow", "until")

    def __init__(self, seed: int, share: float, factor: float = 3.0, period: float = 0.02):
        self.random = Random(seed)
        self.share = share
        self.factor = factor
        self.period = period
        self.slow = False
        self.until = 0.0

    def at(self, now: float) -> float:
        """Return the factor on the time of work at `now` seconds."""
        if not self.share:
            return 1.0
        if now - self.until > 1.0:
            self.until = now
        while self.until <= now:
            self.slow = not self.slow
            mean = self.period if self.slow else self.period * (1 / self.share - 1)
            self.until += self.random.expovariate(1 / mean)
        return self.factor if self.slow else 1.0


class LoadHistory:
    """Work in flight over the last seconds, so that reports can lag behind the truth."""

    __slots__ = ("changes",)

    KEPT = 4096

    def __init__(self):
        self.changes: deque[tuple[float, int]] = deque([(0.0, 0)], maxlen=self.KEPT)

    def note(self, now: float, in_flight: int) -> None:
        """Remember that the work in flight is `in_flight` from `now` on."""
        self.changes.append((now, in_flight))

    def at(self, when: float) -> int:
        """Return the work in flight at the time `when`."""
        for changed, in_flight in reversed(self.changes):
            if changed <= when:
                return in_flight
        return self.changes[0][1]


def load_header(history: LoadHistory, now: float, slots: int, faults: Faults) -> bytes:
    """Return the value of the load header, truthful or not as `faults` says."""
    lag = faults.report_lag_ms / 1000
    in_flight = history.at(now - lag)
    if faults.lie_in_flight >= 0:
        in_flight = faults.lie_in_flight
    age = 0 if faults.report_lag_hidden else faults.report_lag_ms
    return b"in_flight=%d;slots=%d;age_ms=%d" % (in_flight, slots, age)
