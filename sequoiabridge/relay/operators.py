"""The operators' port: metrics, the state dump, and feeds for peers."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING

from ..balancing.routes import path_of
from ..callers.limits import CallerLimits
from ..callers.server import CallerServer, Handler
from ..exceptions import ConfigurationError
from ..logs import get_log
from ..pipeline.exchange import Answer, BytesBody, Request
from .peer_feeds import FEEDS_PATH, FeedResponses
from .readiness import SWEEP_INTERVAL

if TYPE_CHECKING:
    from ..gateway import Gateway

log = get_log("operators")

METRICS_PATH, DUMP_PATH = b"/metrics", b"/dump"

MAX_CONNECTIONS = 256
"""Maximum number of connections of operators, and of the peers that read feeds."""

VERSION = re.compile("[0-9]{1,16}")
"""A version of a feed in a path."""

TEXT = (b"content-type", b"text/plain; charset=utf-8")
JSON = (b"content-type", b"application/json")
COMPRESSED = (b"content-type", b"application/zlib")


class OperatorPort(Handler):
    """Serves operators, their tools and peers.

    Args:
        address: "IP:port" to bind.
    """

    def __init__(self, address: str, gateway: Gateway):
        self.address = address
        self.gateway = gateway
        self.feeds = FeedResponses(gateway.followers)

    async def start(self) -> None:
        """Start listening; a failure is only logged, since calls do not need this port."""
        gateway = self.gateway
        count = gateway.machine_limits.operator_connections(MAX_CONNECTIONS)
        limits = CallerLimits(max_connections=count)
        server = CallerServer(
            self,
            limits,
            gateway.clock,
            gateway.relay.next_id,
            sweep_interval=SWEEP_INTERVAL,
            memory=gateway.memory,
        )
        try:
            server.bind(self.address)
        except ConfigurationError as error:
            log.warning("Cannot open the operators' port: %s", error)
            return
        await gateway.tasks.start("operators port", server.serve)

    async def answer(self, request: Request) -> Answer:
        """Return metrics, a feed, the state dump, or 404."""
        path = path_of(request.target)
        if path == METRICS_PATH:
            return self._metrics()
        if path.startswith(FEEDS_PATH):
            return self._feed(path[len(FEEDS_PATH) :].decode("latin-1"))
        if path == DUMP_PATH:
            data = json.dumps(self._dump(), indent=1, default=str).encode()
            return Answer(200, [JSON], len(data), BytesBody(data))
        data = b"There are /metrics and /dump.\n"
        return Answer(404, [TEXT], len(data), BytesBody(data))

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        """Do nothing; these requests are not counted."""

    def _metrics(self) -> Answer:
        # Imported at the first scrape, since the Prometheus library needs much memory.
        from .metrics import render

        data = render(self.gateway)
        return Answer(200, [TEXT], len(data), BytesBody(data))

    def _feed(self, name: str) -> Answer:
        """Return the rows of feed NAME, or for NAME/VERSION the changes since that version."""
        name, _, after = name.partition("/")
        data = self.feeds.answer(name, int(after) if VERSION.fullmatch(after) else None)
        if data is None:
            data = b"It is not known here.\n"
            return Answer(404, [TEXT], len(data), BytesBody(data))
        return Answer(200, [COMPRESSED], len(data), BytesBody(data))

    def _dump(self) -> dict:
        gateway = self.gateway
        parts = (
            gateway.callers,
            gateway.configuration,
            gateway.upstreams,
            gateway.connector,
            gateway.path_table,
            gateway.members,
            gateway.freshness,
            gateway.request_limits,
            gateway.notices,
            gateway.permits,
            gateway.blocked_requests,
            gateway.uploads,
            gateway.sender.dispatch,
            *gateway.followers.values(),
        )
        return {
            "vm": gateway.settings.vm.name,
            "settings": gateway.settings.dump(),
            "ready": gateway.readiness.why_not_ready() or "ready",
            **{part.name: part.dump() for part in parts},
        }
