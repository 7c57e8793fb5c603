"""Limits the retries and hedges of this VM, so that the fleet stays within its limit.

The VMs do not coordinate. Each one may send a share of its own calls again, plus a small fixed
number; since both bounds hold on each VM, they hold for the sum.

A retry counts when an upstream receives it, which may be long after it was decided, for instance at
an upstream that was stopped meanwhile. Its token is therefore in use from the decision until a
window after the call is settled, that is, after no upstream can receive it any more.

A process that has just started does not know which retries its predecessor sent within the window.
Until a whole window has passed since its start, and since no upstream can read a call of the
predecessor any more, it gets nothing but a small share of its own calls, which the predecessor left
unused.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

USED_SHARE = 0.75
"""Share of the fleet's ratio that is used. The rest covers calls that fall just outside the window
in which their retries are counted, and the retries of processes that have just started."""

NEW_PROCESS_SHARE = 0.2
"""Share of the fleet's ratio that a process uses in its first window; `USED_SHARE` and this one
together are less than 1."""

MAX_VM_COUNT = 128
"""Maximum number of VMs that share the fixed part of the limit."""

MIN_FREE_RETRIES = 1.0
"""Minimum number of retries per window that a VM may send regardless of its number of calls, so
that a VM with few calls can retry at all."""


class RetryLimit:
    """The limit of the fleet on retries and hedges to each service; changed in place on a reload.

    Attributes:
        ratio: Retries and hedges that the fleet may send per call.
        window: Time in seconds over which calls, retries and hedges are counted.
        slack: Retries and hedges that the fleet may send per window in addition.
    """

    __slots__ = ("ratio", "window", "slack")

    def __init__(self, ratio: float, window: float, slack: float):
        self.ratio = ratio
        self.window = window
        self.slack = slack


class RetryBudget:
    """Sliding-window budget of retries and hedges to one service.

    Args:
        limit: The limit of the fleet.
        time_settled: Returns the time since which no upstream can read a call of the earlier
            process, given the present time.

    Attributes:
        calls: Times of the calls in the window.
        settled: Times at which tokens were settled, in the window.
        unsettled: Number of tokens in use by calls that upstreams may still receive.
        taken: Number of retries and hedges granted so far.
        refused: Number of refusals so far; a call that waits may be refused several times.
    """

    __slots__ = (
        "limit",
        "time_settled",
        "calls",
        "settled",
        "unsettled",
        "taken",
        "refused",
    )

    def __init__(self, limit: RetryLimit, time_settled: Callable[[float], float]):
        self.limit = limit
        self.time_settled = time_settled
        self.calls: deque[float] = deque()
        self.settled: deque[float] = deque()
        self.unsettled = 0
        self.taken = 0
        self.refused = 0

    def record_call(self, now: float) -> None:
        """Record the arrival of a call for the service."""
        self.calls.append(now)
        self._expire(now)

    def has_token(self, now: float) -> bool:
        """Return whether a retry or hedge may be sent now; count it as refused if not."""
        self._expire(now)
        if self.unsettled + len(self.settled) + 1 <= self._allowed(now):
            return True
        self.refused += 1
        return False

    def take(self, now: float) -> bool:
        """Take a token for one retry or hedge, to be settled; return False if there is none."""
        if not self.has_token(now):
            return False
        self.unsettled += 1
        self.taken += 1
        return True

    def settle(self, count: int, now: float) -> None:
        """Return tokens a window from now; no upstream receives their calls after `now`."""
        self.unsettled -= count
        self.settled.extend([now] * count)

    def dump(self, now: float) -> dict:
        """Describe the budget for the state dump."""
        self._expire(now)
        return {
            "calls_in_window": len(self.calls),
            "retries_settled_in_window": len(self.settled),
            "retries_unsettled": self.unsettled,
            "allowed_in_window": round(self._allowed(now), 1),
            "taken": self.taken,
            "refused": self.refused,
        }

    def _allowed(self, now: float) -> float:
        """Return the number of retries and hedges that may be sent in the window ending now."""
        limit = self.limit
        if now - self.time_settled(now) < limit.window:
            return NEW_PROCESS_SHARE * limit.ratio * len(self.calls)
        free_retries = max(MIN_FREE_RETRIES, limit.slack / MAX_VM_COUNT)
        return free_retries + USED_SHARE * limit.ratio * len(self.calls)

    def _expire(self, now: float) -> None:
        oldest = now - self.limit.window
        for times in (self.calls, self.settled):
            while times and times[0] < oldest:
                times.popleft()
