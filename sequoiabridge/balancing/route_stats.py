"""What a route's calls are like, learned from those that went by: work time and answer size."""

from __future__ import annotations

from math import exp, log

from .call import Call, CallAttempt

FIRST_WORK_SHARE = 0.35
"""Share of its target latency that a call's work is taken to need before any was measured; the
users' targets are 2.5 to 3.3 times their mean work."""

STEP = 0.1
"""Weight of the latest call; some ten calls fix a mean to a tenth."""

MOST_STEP = 0.5
"""Bound on one call's part in the logarithm of the work time: one that met a neighbour takes seven
times as long, and says nothing about the work."""

CLEAN_SLOWDOWN = 1.3
"""Slowdown up to which a call tells what its work takes; the reports of quiet upstreams say 1."""

FIRST_ANSWER = 4000.0
"""Bytes of an answer that are expected before any was seen."""

MEGABYTE = 1_000_000
LEAST_SECONDS = 0.001


class Learned:
    """The means of one route."""

    __slots__ = ("work", "answer")

    def __init__(self, work: float):
        self.work = work
        self.answer = FIRST_ANSWER


class Costs:
    """Learns the means of each route.

    Args:
        far_megabyte: Cost of a megabyte between data centres, in answers in time.
    """

    def __init__(self, far_megabyte: float):
        self.far_megabyte = far_megabyte
        self.learned: dict[str, Learned] = {}

    def work(self, call: Call) -> float:
        """Return the seconds that the call's work takes on an upstream that nothing slows."""
        return self._of(call).work

    def far_cost(self, call: Call) -> float:
        """Return the cost of sending the call to another data centre."""
        size = call.length + self._of(call).answer
        return size / MEGABYTE * self.far_megabyte

    def measured(self, call: Call, attempt: CallAttempt) -> None:
        """An attempt at a call was answered well.

        Its work is learned only if it had a slot at once on an upstream that nothing slowed.
        """
        learned, estimate = self._of(call), attempt.estimate
        learned.answer += STEP * (attempt.size - learned.answer)
        if estimate.queue_position > 0 or estimate.slowdown > CLEAN_SLOWDOWN:
            return
        seconds = attempt.ended_at - attempt.started
        ratio = log(max(seconds, LEAST_SECONDS) / estimate.processing_time)
        learned.work *= exp(STEP * max(-MOST_STEP, min(MOST_STEP, ratio)))

    def _of(self, call: Call) -> Learned:
        key = f"{call.route.name}/{call.service}"
        if key not in self.learned:
            self.learned[key] = Learned(call.route.target_latency * FIRST_WORK_SHARE)
        return self.learned[key]
