"""Tells the choice of an upstream whether the connection pool has a connection to it."""

from __future__ import annotations

from ..balancing.send_policy import FreeConnections
from ..balancing.upstream import Upstream
from ..upstreams.base import Connector


class PooledConnections(FreeConnections):
    """Tells by the connection pool whether a connection to an upstream is free."""

    def __init__(self, connector: Connector):
        self.connector = connector

    def has_free(self, upstream: Upstream) -> bool:
        """Return whether a call to an upstream would get a connection now."""
        return self.connector.has_free(upstream.address)
