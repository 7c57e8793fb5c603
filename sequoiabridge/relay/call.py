"""One call of the relay: what came in, beside what the decisions know of it."""

from __future__ import annotations

from ..balancing.call import Call
from ..balancing.routes import Route
from ..exceptions import Refusal
from ..pipeline.buffering import ReplayableBody
from ..pipeline.exchange import Answer, Request
from .metadata import CallMetadata


class RelayedCall(Call):
    """One call; times are on the daemon's clock, in seconds.

    Attributes:
        id: The caller's name for it, for logs.
        terms: What its caller says of it.
        version: The configuration that it falls under.
        answer: What the caller gets.
        refusal: The answer that the daemon made itself, or None.
    """

    __slots__ = ("id", "request", "metadata", "version", "answer", "refusal")

    def __init__(self, call_id: str, request: Request, metadata: CallMetadata, arrived: float):
        super().__init__(arrived)
        self.id = call_id
        self.request = request
        self.metadata = metadata
        self.length = request.length or 0
        self.version = 0
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None

    def apply_route_version(self, route: Route, version: int) -> None:
        """Take in the terms of its route in a version of the configuration."""
        self.version = version
        self.apply_route(route, self.metadata.timeout)

    def body_received(self, now: float) -> None:
        """Its body is in memory, or as much of it as is taken in before it is sent."""
        body = self.request.body
        self.body_seconds = now - self.arrived
        self.replayable = body is None or isinstance(body, ReplayableBody)
