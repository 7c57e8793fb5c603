"""A call that the relay handles: the request, its answer, and the state that balancing uses."""

from __future__ import annotations

from ..balancing.call import Call
from ..balancing.routes import Route
from ..exceptions import Refusal
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Answer, Request
from .fingerprints import request_fingerprint
from .metadata import CallMetadata


class RelayedCall(Call):
    """One call; times are in seconds on the daemon's clock.

    Attributes:
        id: Id given by the caller or, without one, by the daemon; for logs.
        metadata: Metadata from the headers of the request.
        version: Version of the configuration that applies to the call.
        answer: The answer that the caller gets.
        is_trial: Whether it may be sent once although its request is blocked.
        refusal: The refusal if the daemon refused the call, else None.
    """

    __slots__ = (
        "id",
        "request",
        "metadata",
        "version",
        "answer",
        "refusal",
        "is_trial",
        "_fingerprint",
    )

    def __init__(self, call_id: str, request: Request, metadata: CallMetadata, arrived: float):
        super().__init__(arrived)
        self.id = call_id
        self.request = request
        self.metadata = metadata
        self.length = request.length or 0
        self.version = 0
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None
        self.is_trial = False
        self._fingerprint = ""

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request, known once its body has been buffered."""
        if not self._fingerprint:
            self._fingerprint = request_fingerprint(self.request)
        return self._fingerprint

    @property
    def can_resend(self) -> bool:
        """Return whether another attempt can still send the whole body."""
        return self.request.body is None or self.request.body.is_held

    @property
    def was_left_unanswered(self) -> bool:
        """Return whether an upstream may have run the call and gave no answer."""
        return any(one.may_have_run and not one.status for one in self.attempts)

    def apply_route_version(self, route: Route, version: int) -> None:
        """Set the route and its configuration version, and derive the deadline from them."""
        self.version = version
        self.apply_route(route, self.metadata.timeout)

    def release_bodies(self) -> None:
        """Forget the bodies of the request and its answers once the call has ended.

        The call and its attempts refer to each other, and checks for crashes keep them for longer.
        """
        if self.was_sent:
            self._fingerprint = self.fingerprint
        self.request.body = None
        for holder in (self, *self.attempts):
            if holder.answer is not None:
                holder.answer.body = None

    def body_received(self, now: float) -> None:
        """Record that the body has been buffered, in full or in part."""
        body = self.request.body
        self.body_seconds = now - self.arrived
        self.replayable = body is None or isinstance(body, ReplayableBody)
        if not self.replayable:
            # What is buffered of a streamed body is gone once it has been sent.
            self._fingerprint = request_fingerprint(self.request)
