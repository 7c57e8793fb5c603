"""Divides the connections that an upstream accepts between the daemons."""

from __future__ import annotations

from ..upstreams.connections import HttpConnector
from .configuration import Configuration
from .members import Members
from .upstreams import UpstreamList

MAX_CONNECTIONS_PER_UPSTREAM = 8
"""Maximum number of connections from this VM to one upstream. A VM needs two for calls and some for
probes at a time."""

MIN_CONNECTIONS_PER_UPSTREAM = 2
"""Minimum number, so that a call and a probe can be under way."""


class ConnectionShares:
    """Sets this VM's share of the connections to each upstream.

    Attributes:
        applied: What the shares were last derived from: list of upstreams, configuration, members.
    """

    def __init__(
        self,
        connector: HttpConnector,
        upstreams: UpstreamList,
        configuration: Configuration,
        members: Members,
    ):
        self.connector = connector
        self.upstreams = upstreams
        self.configuration = configuration
        self.members = members
        self.applied: tuple[int, int, int] | None = None

    def update(self) -> None:
        """Apply changes of the upstreams, the configuration and the members; called by a timer."""
        table = self.configuration.table
        state = (self.upstreams.generation, self.configuration.version, self.members.count)
        if table is None or state == self.applied:
            return
        self.applied = state
        shares = {}
        for upstream in self.upstreams.by_id.values():
            settings = table.services.get(upstream.record.service)
            if settings is not None:
                count = connection_share(settings.max_connections, self.members.count)
                shares[upstream.address] = count
        self.connector.set_shares(shares)


def connection_share(max_connections: int, vms: int) -> int:
    """Return the connections of one VM to an upstream that accepts `max_connections` of all."""
    share = max_connections // max(1, vms)
    return max(MIN_CONNECTIONS_PER_UPSTREAM, min(MAX_CONNECTIONS_PER_UPSTREAM, share))
