"""Counts the repeats that a service receives within a window, and how many are allowed."""

from bisect import bisect_left

from .excess import Excess
from .record import APPROVE, READ, UPLOAD, CallRecord, Record

RETRY_RATIO = 0.2
"""Repeats that a service may receive per call, over all daemons."""

RETRY_WINDOW = 10.0
"""Seconds over which calls and repeats are counted."""

CLOCK_RESOLUTION = 1e-6
"""Seconds by which times are told apart."""

SERVICES = {READ: "reads", APPROVE: "approvals", UPLOAD: "approvals"}
"""Service of each kind of call whose route does not change."""


def worst_repeats(record: Record) -> dict[str, "RepeatExcess"]:
    """Return the window with the most repeats beyond the limit for each service."""
    worst = {}
    for service in sorted({arrival.service for arrival in record.arrivals}):
        calls = sorted(c.sent_at for c in record.calls if service_of(record, c) == service)
        repeats = repeat_times(record, service)
        # The window with the most repeats begins or ends with one of them.
        starts = repeats + [at - RETRY_WINDOW + CLOCK_RESOLUTION for at in repeats]
        windows = [repeat_excess(start, repeats, calls, record.retry_slack) for start in starts]
        if windows:
            worst[service] = max(windows, key=lambda window: window.excess)
    return worst


class RepeatExcess(Excess):
    """The repeats in one window and how many were allowed."""

    def __str__(self) -> str:
        return (
            f"{self.count} repeats within {RETRY_WINDOW:.0f} s from {self.start:.2f} on, "
            f"{self.allowed:.0f} allowed"
        )


def repeat_excess(start, repeats, calls, slack) -> RepeatExcess:
    """Return the repeats in the window from `start` on; `repeats` and `calls` are sorted times."""
    counted = max(
        count_between(calls, start - back, start - back + RETRY_WINDOW)
        for back in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
    )
    count = count_between(repeats, start, start + RETRY_WINDOW)
    return RepeatExcess(start, count, RETRY_RATIO * counted + slack)


def repeat_times(record: Record, service: str) -> list[float]:
    """Return the sorted times of all arrivals at a service but the first of each call."""
    seen, repeats = set(), []
    for arrival in sorted(record.arrivals, key=lambda one: one.at):
        if arrival.id in seen and arrival.service == service:
            repeats.append(arrival.at)
        seen.add(arrival.id)
    return repeats


def service_of(record: Record, call: CallRecord) -> str:
    """Return the service of a call's route at the time at which the call was sent."""
    if call.kind in SERVICES:
        return SERVICES[call.kind]
    return [service for at, service in record.route_changes if at <= call.sent_at][-1]


def count_between(times: list[float], start: float, end: float) -> int:
    """Return the number of sorted `times` from `start` up to but without `end`."""
    return bisect_left(times, end) - bisect_left(times, start)
