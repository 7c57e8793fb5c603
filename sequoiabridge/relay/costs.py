"""What a route's calls are like, learned from those that went by: work time and answer size."""

from __future__ import annotations

from .call import RelayedCall

FIRST_WORK_SHARE = 0.35
"""Share of its target latency that a call's work is taken to need before any was measured; the
users' targets are 2.5 to 3.3 times their mean work."""

STEP = 0.1
"""Weight of the latest call; some ten calls fix a mean to a tenth."""

FIRST_ANSWER = 4000.0
"""Bytes of an answer that are expected before any was seen."""

MEGABYTE = 1_000_000


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

    def work(self, call: RelayedCall) -> float:
        """Return the seconds that the call's work takes on an upstream that nothing slows."""
        return self._of(call).work

    def far_cost(self, call: RelayedCall) -> float:
        """Return the cost of sending the call to another data centre."""
        size = (call.request.length or 0) + self._of(call).answer
        return size / MEGABYTE * self.far_megabyte

    def measured(self, call: RelayedCall, work: float, answer_bytes: int) -> None:
        """A call was answered: its work, with all known slowness taken out, and its answer."""
        learned = self._of(call)
        learned.work += STEP * (min(work, 3.0 * learned.work) - learned.work)
        learned.answer += STEP * (answer_bytes - learned.answer)

    def _of(self, call: RelayedCall) -> Learned:
        key = f"{call.route.name}/{call.service}"
        if key not in self.learned:
            self.learned[key] = Learned(call.route.target_latency * FIRST_WORK_SHARE)
        return self.learned[key]
