"""When a planned stop takes its steps, so that every call it takes is answered in time."""

from __future__ import annotations

from ..balancing.call import Call
from ..balancing.refusals import stopping
from ..lateness import Lateness

BALANCER_DELAY = 2.6
"""Seconds for which new connections are accepted, until the platform's balancer has noticed the
stop. It asks once a second and acts on the second answer that says no."""

MAX_ACCEPT_SHARE = 0.45
"""Maximum share of the grace period in which new connections are accepted."""

LAST_REQUEST_DELAY = 0.3
"""Seconds after the last connection was accepted in which it can send its request."""

MAX_TAKE_SHARE = 0.5
"""Maximum share of the grace period in which calls are taken whatever their timeout is."""

MAX_MARGIN = 0.4
"""Maximum seconds before the end of the grace period at which open calls are ended, unless the
daemon is late."""

MARGIN_SHARE = 1 / 15
"""Maximum share of the grace period that lies behind the end of open calls."""

MAX_MARGIN_SHARE = 1 / 6
"""The same if the daemon is late."""


LATE_MARGIN_FACTOR = 3.0
"""Seconds before the kill at which open calls are ended, for each second that the daemon is late.
An answer takes some turns of the event loop."""


class StopPlan:
    """The steps of a planned stop. Times are in seconds on the daemon's clock.

    Args:
        began: Time at which the stop was requested.
        grace: Seconds after which the process is killed.
        lateness: How late the daemon runs.

    Attributes:
        accept_until: Time until which new connections are accepted.
        take_until: Time at which idle connections are closed; a call that comes later is taken only
            if its own timeout ends it before `earliest_answer_by`.
        answer_by: Time at which calls that are still open get their last answer.
        earliest_answer_by: Earliest `answer_by` of a daemon that is late.
        exit_at: Time at which the process ends.
        kill_at: Time at which it is killed.
        refused: Number of calls that were refused before an upstream was chosen.
    """

    __slots__ = (
        "lateness",
        "began",
        "accept_until",
        "take_until",
        "answer_by",
        "earliest_answer_by",
        "exit_at",
        "kill_at",
        "refused",
    )

    def __init__(self, began: float, grace: float, lateness: Lateness):
        accept_seconds = min(BALANCER_DELAY, MAX_ACCEPT_SHARE * grace)
        take_seconds = min(accept_seconds + LAST_REQUEST_DELAY, MAX_TAKE_SHARE * grace)
        margin = min(MAX_MARGIN, MARGIN_SHARE * grace)
        self.lateness = lateness
        self.began = began
        self.kill_at = began + grace
        self.accept_until = began + accept_seconds
        self.take_until = began + take_seconds
        self.answer_by = began + grace - margin
        self.earliest_answer_by = began + grace - MAX_MARGIN_SHARE * grace
        self.exit_at = began + grace - margin / 2
        self.refused = 0

    def check_call(self, call: Call, now: float) -> None:
        """Check that a call that no upstream has got can still be answered.

        Raises:
            Refusal: The daemon is late, or the stop may end the call before its own timeout does.
        """
        is_in_time = now <= self.take_until or call.deadline <= self.earliest_answer_by
        if is_in_time and not self.lateness.is_late(now):
            return
        self.refused += 1
        raise stopping(call)

    def allow_for_delay(self, now: float) -> None:
        """Give open calls their last answer earlier if the daemon is late."""
        if not self.lateness.is_late(now):
            return
        answer_by = self.kill_at - LATE_MARGIN_FACTOR * self.lateness.recent_delay(now)
        self.answer_by = min(self.answer_by, max(answer_by, self.earliest_answer_by))

    def row(self) -> dict:
        """Return the seconds from the begin of the stop to each step, for the log."""
        names = ("accept_until", "take_until", "answer_by", "exit_at")
        return {name: round(getattr(self, name) - self.began, 3) for name in names}
