"""Whether the platform's balancer should send callers to this VM."""

from __future__ import annotations

from ..callers.limits import CallerLimits
from ..callers.server import Handler
from ..pipeline.exchange import Answer, BytesBody, Request
from .configuration import Configuration
from .upstreams import UpstreamList

READY_LIMITS = CallerLimits(max_connections=64)
"""The balancer asks once a second; a few probes of people's own come beside it."""

SWEEP_INTERVAL = 2.0
"""Seconds between two looks at the connections of those who ask; nobody's call hangs on them."""

OK, UNAVAILABLE = 200, 503


class Readiness:
    """Ready while this VM knows how to serve and no stop has begun.

    Attributes:
        stopping: A planned stop has begun.
    """

    def __init__(self, configuration: Configuration, upstreams: UpstreamList):
        self.configuration = configuration
        self.upstreams = upstreams
        self.stopping = False

    def why_not_serving(self) -> str:
        """Return why calls are refused, or ""; during a planned stop they are still served."""
        if self.configuration.table is None:
            return "No configuration is known yet."
        if not self.upstreams.is_loaded:
            return "No upstreams are known yet."
        return ""

    def why_not_ready(self) -> str:
        """Return why no new callers should be sent here, or ""."""
        return "A planned stop has begun." if self.stopping else self.why_not_serving()


class ReadyHandler(Handler):
    """Answers the balancer's question, whatever its path."""

    def __init__(self, readiness: Readiness):
        self.readiness = readiness

    async def answer(self, request: Request) -> Answer:
        """Return 200 when callers may be sent here, else 503 with the reason."""
        why = self.readiness.why_not_ready()
        body = (why or "Ready.").encode() + b"\n"
        return Answer(UNAVAILABLE if why else OK, [], len(body), BytesBody(body))

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        """Do nothing; the question is not counted."""
