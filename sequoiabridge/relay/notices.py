"""What upstreams say of the calls that they want, in the headers of their answers."""

from __future__ import annotations

from ..balancing.departure import DepartureSource
from ..balancing.upstream import Upstream
from ..component import Component
from .departures import Departures
from .metadata import AnswerMetadata, HealthMetadata
from .request_limits import RequestLimits
from .rests import Rests
from .unknown_headers import UnknownHeaders


class Notices(Component):
    """Records what each answer says of limits, rests and departures."""

    name = "notices"

    def __init__(
        self,
        limits: RequestLimits,
        rests: Rests,
        departures: Departures,
        unknown_headers: UnknownHeaders,
    ):
        self.limits = limits
        self.rests = rests
        self.departures = departures
        self.unknown_headers = unknown_headers

    def record_answer(self, upstream: Upstream, metadata: AnswerMetadata, sent_at: float) -> None:
        """Record the answer to a call.

        Args:
            sent_at: Time at which the call was sent.
        """
        if metadata.other_upstream:
            return
        if metadata.unknown:
            self.unknown_headers.record(upstream, metadata.unknown)
        self.rests.record(upstream, metadata.rest)
        self.departures.record(upstream, metadata.departure, DepartureSource.ANSWER)
        # Faulty answers may lack the limit although it still applies.
        if metadata.limit.rate is not None or metadata.limit.problem or metadata.genuine:
            self.limits.record_answer(upstream, metadata.limit, sent_at)

    def record_health_answer(self, upstream: Upstream, metadata: HealthMetadata) -> None:
        """Record the answer to a health check."""
        self.rests.record(upstream, metadata.rest)
        self.departures.record(upstream, metadata.departure, DepartureSource.HEALTH_ANSWER)
        self.limits.record_health_answer(upstream, metadata.limit)

    def record_send(self, upstream: Upstream, call_id: str, chosen_at: float) -> None:
        """Record that this VM sends a call.

        Args:
            chosen_at: Time at which the upstream was chosen.
        """
        self.limits.record_send(upstream)
        self.rests.record_send(upstream, call_id, chosen_at)
        self.departures.record_send(upstream, call_id, chosen_at)

    def dump(self) -> dict:
        """Describe rests and departures for the state dump."""
        return {"rests": self.rests.dump(), "departures": self.departures.dump()}
