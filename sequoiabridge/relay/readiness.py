"""Answers the platform's balancer whether to send callers to this VM."""

from __future__ import annotations

from ..callers.server import Handler
from ..pipeline.exchange import Answer, BytesBody, Request
from .configuration import Configuration
from .upstreams import UpstreamList

MAX_READINESS_CONNECTIONS = 64
"""Maximum number of connections of the balancer, and of people who check by hand."""

SWEEP_INTERVAL = 2.0
"""Interval in seconds at which the readiness and operators' ports check their connections."""

OK, UNAVAILABLE = 200, 503


class Readiness:
    """Ready while a configuration and upstreams are known and no planned stop has begun.

    Attributes:
        stopping: True once a planned stop has begun.
    """

    def __init__(self, configuration: Configuration, upstreams: UpstreamList):
        self.configuration = configuration
        self.upstreams = upstreams
        self.stopping = False

    def why_not_serving(self) -> str:
        """Return why calls cannot be served, or ""; a planned stop is no such reason."""
        if self.configuration.table is None:
            return "No configuration is known yet."
        if not self.upstreams.is_loaded:
            return "No upstreams are known yet."
        return ""

    def why_not_ready(self) -> str:
        """Return why the balancer should not send callers to this VM, or ""."""
        return "A planned stop has begun." if self.stopping else self.why_not_serving()


class ReadyHandler(Handler):
    """Request handler of the readiness port; answers any path."""

    def __init__(self, readiness: Readiness):
        self.readiness = readiness

    async def answer(self, request: Request) -> Answer:
        """Return 200 if this VM is ready, else 503 with the reason."""
        why = self.readiness.why_not_ready()
        body = (why or "Ready.").encode() + b"\n"
        return Answer(UNAVAILABLE if why else OK, [], len(body), BytesBody(body))

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        """Do nothing; readiness checks are not counted."""
