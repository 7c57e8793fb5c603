"""How the connections that an upstream accepts are divided between the daemons."""

from types import SimpleNamespace

import pytest

from ...balancing.routes import CallLimits, RouteTable, ServiceSettings
from ...relay.configuration import Configuration
from ...relay.connection_shares import ConnectionShares
from ...relay.upstreams import UpstreamList
from ...timers import ManualClock
from ...upstreams.connections import ConnectorLimits, HttpConnector
from .fakes import decision_log, record


def table(max_connections, version=1):
    """Return a configuration of one service without routes."""
    services = {"reads": ServiceSettings("reads", b"/health", max_connections)}
    return RouteTable(version, {}, services, CallLimits(1, 1, 1.0, 1.0))


@pytest.mark.parametrize(
    ("max_connections", "vms", "share"),
    [(220, 13, 8), (860, 97, 8), (440, 110, 4), (220, 110, 2), (50, 110, 2), (1, 1, 2)],
)
def test_the_connections_that_an_upstream_accepts_are_divided_between_the_daemons(
    max_connections, vms, share
):
    # Each daemon opened up to eight, whatever the configuration said.
    clock = ManualClock(0.0)
    log, _ = decision_log(clock)
    connector = HttpConnector(clock, ConnectorLimits(), 8)
    upstreams = UpstreamList("here", clock, log, lambda upstream: None)
    upstreams.update([record("u", service="reads")], [], 1)
    configuration = Configuration(log, lambda table: None)
    shares = ConnectionShares(connector, upstreams, configuration, SimpleNamespace(count=vms))
    shares.update()
    assert connector.shares == {}
    configuration.offer(table(max_connections))
    shares.update()
    assert list(connector.shares.values()) == [share]
    configuration.offer(table(8 * vms, version=2))
    shares.update()
    assert list(connector.shares.values()) == [8]
