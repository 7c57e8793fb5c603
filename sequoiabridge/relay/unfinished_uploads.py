"""Keeps upstreams free for other calls while callers have not sent all of a long upload.

A body that is too long to be buffered is forwarded while it comes in, and occupies a place and a
connection at an upstream for as long as its caller takes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..balancing.refusals import too_many_uploads
from ..callers.memory import STALL_SECONDS
from ..component import Component
from .bodies import PartlyBufferedBody
from .call import RelayedCall
from .decisions import DecisionLog

CHECK_INTERVAL = 0.25
"""Seconds between two searches for uploads whose callers have stalled."""

MAX_SHARE = 0.5
"""Share of a service's slots that uploads which are not whole may occupy from this VM."""

MAX_STALLED_SHARE = 0.25
"""The same for those whose callers have stalled."""


class UnfinishedUploads(Component):
    """The uploads that are forwarded and have not come in as a whole.

    Args:
        slots: Returns the number of slots of a service's upstreams.

    Attributes:
        calls: Calls with such uploads by service, the oldest first.
        refused: Number of uploads refused since there were too many.
        evicted: Number of uploads that were broken off since their callers had stalled.
    """

    name = "unfinished_uploads"

    def __init__(self, slots: Callable[[str], int], decisions: DecisionLog):
        self.slots = slots
        self.decisions = decisions
        self.calls: dict[str, list[RelayedCall]] = {}
        self.refused = 0
        self.evicted = 0

    @contextmanager
    def admit(self, call: RelayedCall) -> Iterator[None]:
        """Count a call while its body is not whole, if it is forwarded while it comes in.

        Raises:
            Refusal: There are too many such calls; this one was sent nowhere.
        """
        if not isinstance(call.request.body, PartlyBufferedBody):
            yield
            return
        self._make_room(call.service)
        calls = self.calls.setdefault(call.service, [])
        calls.append(call)
        try:
            yield
        finally:
            calls.remove(call)
            if not calls:
                del self.calls[call.service]

    def check(self) -> None:
        """Break off uploads whose callers have stalled, if they are too many; called by a timer."""
        for service in list(self.calls):
            stalled = self._stalled(service)
            allowed = self._allowed(service, MAX_STALLED_SHARE)
            self._evict(stalled[: max(0, len(stalled) - allowed)])

    def dump(self) -> dict:
        """Return the state for the state dump."""
        return {
            "by_service": {service: len(self._unfinished(service)) for service in self.calls},
            "refused": self.refused,
            "evicted": self.evicted,
        }

    def _make_room(self, service: str) -> None:
        """Make room for another upload; raise `Refusal` if there is none."""
        excess = len(self._unfinished(service)) + 1 - self._allowed(service, MAX_SHARE)
        if excess <= 0:
            return
        stalled = self._stalled(service)
        if len(stalled) < excess:
            self.refused += 1
            raise too_many_uploads()
        self._evict(stalled[:excess])

    def _allowed(self, service: str, share: float) -> int:
        return max(1, int(self.slots(service) * share))

    def _unfinished(self, service: str) -> list[RelayedCall]:
        return [call for call in self.calls.get(service, ()) if not call.request.body.is_whole]

    def _stalled(self, service: str) -> list[RelayedCall]:
        """Return the calls of a service whose callers have stalled, the longest stalled first."""
        found = [(call.request.body.stalled_seconds(), call) for call in self._unfinished(service)]
        found = [(seconds, call) for seconds, call in found if seconds >= STALL_SECONDS]
        return [call for _, call in sorted(found, key=lambda one: one[0], reverse=True)]

    def _evict(self, calls: list[RelayedCall]) -> None:
        for call in calls:
            self.evicted += 1
            self.decisions.event("upload-evicted", id=call.id, service=call.service)
            call.request.body.evict()
