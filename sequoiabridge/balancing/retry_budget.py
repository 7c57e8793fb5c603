"""How many repeated sends this VM may make, so that the fleet together stays within its limit.

No VM asks another: each keeps to a share of its own calls that is below the fleet's ratio, and to
a small number that it may use whatever its calls. Both hold for each VM, so they hold for the sum.
"""

from __future__ import annotations

from collections import deque

USED_SHARE = 0.75
"""Part of the fleet's ratio that is used. The limit counts the repeats of any span of the window's
length against the calls of that span, the one before or half a window before; the rest of the
ratio covers calls that fall just outside of it."""

MAX_VM_COUNT = 128
"""VMs that the limit's fixed part is shared between."""

MIN_FREE_RETRIES = 1.0
"""Repeats that a VM may make in a window whatever its calls: without it a quiet VM could never
repeat a call."""


class RetryBudget:
    """The repeated sends to one service.

    Args:
        ratio: Repeats that the fleet may send for each call.
        window: Seconds over which they are counted.
        free: Repeats that the fleet may send in a window beside those.
    """

    __slots__ = ("ratio", "window", "free_retries", "calls", "retries", "refused")

    def __init__(self, ratio: float, window: float, free_retries: float):
        self.ratio = ratio * USED_SHARE
        self.window = window
        self.free_retries = max(MIN_FREE_RETRIES, free_retries / MAX_VM_COUNT)
        self.calls: deque[float] = deque()
        self.retries: deque[float] = deque()
        self.refused = 0

    def record_call(self, now: float) -> None:
        """A caller's call for the service came."""
        self.calls.append(now)
        self._expire(now)

    def has_token(self, now: float) -> bool:
        """Return whether one more repeat may be sent now."""
        self._expire(now)
        return len(self.retries) + 1 <= self.free_retries + self.ratio * len(self.calls)

    def take(self, now: float) -> bool:
        """Take one repeat; return False if there is none left."""
        if not self.has_token(now):
            self.refused += 1
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self.window
        for times in (self.calls, self.retries):
            while times and times[0] < oldest:
                times.popleft()
