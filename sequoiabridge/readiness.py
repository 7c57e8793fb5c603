"""Whether the platform's load balancer should send callers to this VM, and why not."""

from __future__ import annotations

from collections.abc import Callable

from .operators.bases import Readiness

STOPPING_MESSAGE = "A planned stop has begun."


class DaemonReadiness(Readiness):
    """Ready while the configuration is current and no planned stop has begun.

    Args:
        why_not_current: Returns why the configuration is not current, as a sentence, or "".
    """

    def __init__(self, why_not_current: Callable[[], str]):
        self.why_not_current = why_not_current
        self.stopping = False

    def why_not_serving(self) -> str:
        """Return why calls are refused, or ""; a planned stop is no reason."""
        return self.why_not_current()

    def check(self) -> tuple[bool, str]:
        if self.stopping:
            return False, STOPPING_MESSAGE
        why = self.why_not_current()
        return not why, why or "The configuration is current."
