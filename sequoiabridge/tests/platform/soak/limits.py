"""Counts the calls that an upstream with a limit receives, and how many are allowed."""

from bisect import bisect_right

from .excess import Excess
from .record import CallRecord, Record, is_limit

LIMIT_WINDOW = 4.0
"""Seconds over which arrivals at an upstream with a limit are counted."""

LIMIT_FACTOR, LIMIT_SLACK = 1.5, 5.0
"""An upstream may receive this multiple of what its limit allows, and a fixed number more."""

STABLE_SECONDS = 3.0
"""Seconds after a limit was first named, or after a daemon was disturbed, that are not checked."""

TOLD_SECONDS = 0.5
"""Seconds after a daemon passed on a limit from which its calls count, and for which a limit may
be taken for the one that it replaced."""

CLOCK_RESOLUTION = 1e-6
"""Seconds by which times are told apart."""


class LimitPeriod:
    """A time in which an upstream named limits without a break.

    Attributes:
        changes: Time and requests per second of each limit, in order.
        end: Time of the first answer without a limit, of the end of this lifetime, or at which no
            daemon can know the limit any more.
    """

    def __init__(self, upstream: str, start: float, rate: float):
        self.upstream = upstream
        self.start = start
        self.changes = [(start, rate)]
        self.end = float("inf")

    def allowed_between(self, start: float, end: float) -> float:
        """Return the number of calls that are allowed in a window."""
        bounds = [start, *(at for at, _ in self.changes if start < at < end)]
        bounds += [at + TOLD_SECONDS for at, _ in self.changes if start < at + TOLD_SECONDS < end]
        bounds = sorted(bounds) + [end]
        requests = sum(
            (right - left) * self._rate_at(left)
            for left, right in zip(bounds, bounds[1:], strict=False)
        )
        return LIMIT_FACTOR * requests + LIMIT_SLACK

    def _rate_at(self, at: float) -> float:
        """Return the highest rate that a daemon could know of shortly before `at`."""
        times = [change_at for change_at, _ in self.changes]
        last = bisect_right(times, at) - 1
        first = max(0, bisect_right(times, at - TOLD_SECONDS) - 1)
        return max(rate for _, rate in self.changes[first : last + 1])


class LimitExcess(Excess):
    """The arrivals at an upstream in one window and how many were allowed."""

    def __str__(self) -> str:
        return (
            f"{self.count} calls within {LIMIT_WINDOW:.0f} s from {self.start:.2f} on, "
            f"limit allows {self.allowed:.1f}"
        )


def limit_periods(record: Record) -> list[LimitPeriod]:
    """Return the times in which upstreams named limits, from what they logged."""
    periods: list[LimitPeriod] = []
    current: dict[str, LimitPeriod] = {}
    for at, upstream, rate in sorted(record.limit_changes, key=lambda change: change[0]):
        period = current.get(upstream)
        if rate is None:
            if period is not None:
                period.end = min(period.end, at)
                del current[upstream]
        elif period is None or at >= period.end:
            period = current[upstream] = LimitPeriod(upstream, at, rate)
            periods.append(period)
        else:
            period.changes.append((at, rate))
        if rate is not None:
            period.end = forgotten_at(record, upstream, at)
    return periods


def forgotten_at(record: Record, upstream: str, named_at: float) -> float:
    """Return when no daemon can know a limit any more that was named at `named_at`.

    That is when all of them have started within `STABLE_SECONDS`, after the last answer with a
    limit, and the upstream then names a value that cannot be read. It is infinite otherwise.
    """
    changes = [at for at, name, _ in record.limit_changes if name == upstream and at > named_at]
    next_change = min(changes, default=float("inf"))
    unreadable = [at for at, name in record.unreadable_limits if name == upstream and at > named_at]
    if min(unreadable, default=float("inf")) >= next_change:
        return float("inf")
    answered = [
        call.ended_at
        for call in record.calls
        if named_at <= call.ended_at < next_change
        and is_answer_with_limit(call, upstream)
        and is_limit(call.limit)
    ]
    since = max(answered, default=named_at)
    daemons = {call.daemon for call in record.calls}
    for at, _ in sorted(record.starts):
        if not since < at < next_change:
            continue
        recent = {d for start, d in record.starts if max(since, at - STABLE_SECONDS) <= start <= at}
        if recent >= daemons:
            return at
    return float("inf")


def worst_limits(record: Record) -> dict[str, LimitExcess]:
    """Return the window with the most arrivals beyond the limit for each upstream with a limit."""
    worst: dict[str, LimitExcess] = {}
    daemon_of = {call.id: call.daemon for call in record.calls}
    for period in limit_periods(record):
        told = told_times(record, period)
        arrivals = [
            (arrival.at, daemon_of.get(arrival.id, ""))
            for arrival in record.arrivals
            if arrival.upstream == period.upstream and period.start <= arrival.at < period.end
        ]
        arrivals = sorted(
            (at, daemon)
            for at, daemon in arrivals
            if at - told.get(daemon, float("inf")) >= TOLD_SECONDS
        )
        for excess in windows(record, period, arrivals):
            known = worst.get(period.upstream)
            if known is None or excess.excess > known.excess:
                worst[period.upstream] = excess
    return worst


def windows(record: Record, period: LimitPeriod, arrivals: list[tuple[float, str]]):
    """Yield the arrivals in each window that begins or ends with one of them.

    Args:
        arrivals: Time and daemon of each arrival of a daemon that knew the limit, in order.
    """
    starts = [at for at, _ in arrivals]
    starts += [at - LIMIT_WINDOW + CLOCK_RESOLUTION for at in starts]
    for start in starts:
        end = start + LIMIT_WINDOW
        if start < period.start + STABLE_SECONDS or end > period.end:
            continue
        excused = record.disturbed_daemons(start - STABLE_SECONDS, end)
        count = sum(start <= at < end and daemon not in excused for at, daemon in arrivals)
        yield LimitExcess(start, count, period.allowed_between(start, end))


def told_times(record: Record, period: LimitPeriod) -> dict[str, float]:
    """Return when each daemon first passed on an answer that named a limit of the period."""
    told: dict[str, float] = {}
    for call in record.calls:
        if is_answer_with_limit(call, period.upstream) and call.ended_at >= period.start:
            told[call.daemon] = min(call.ended_at, told.get(call.daemon, float("inf")))
    return told


def is_answer_with_limit(call: CallRecord, upstream: str) -> bool:
    """Return whether a caller got an answer of the upstream that named a limit."""
    return call.limit != "" and call.body.startswith(f"{upstream} ".encode())


def check_limits(record: Record) -> list[str]:
    """Return a message for each upstream that received more calls than its limit allows."""
    return [
        f"{upstream}: {worst}"
        for upstream, worst in worst_limits(record).items()
        if worst.excess > 0.0
    ]
