"""Whether the platform's balancer should send callers to this VM, and why not."""

from __future__ import annotations

from collections.abc import Callable

from .operators.bases import Readiness

STOPPING_MESSAGE = "A planned stop has begun."


class DaemonReadiness(Readiness):
    """Ready while the configuration is known to be current and no stop has begun.

    Args:
        why_not_current: Returns one sentence, or "" if the configuration is current.
    """

    def __init__(self, why_not_current: Callable[[], str]):
        self.why_not_current = why_not_current
        self.stopping = False

    def why_not_serving(self) -> str:
        """Return why calls are refused, or ""; during a planned stop they are still served."""
        return self.why_not_current()

    def check(self) -> tuple[bool, str]:
        if self.stopping:
            return False, STOPPING_MESSAGE
        why = self.why_not_current()
        return not why, why or "The configuration is current."
