"""Polling for a newer configuration while the platform's store is unavailable."""

import curio

from ..configuration import ConfigurationInForce
from ..store.versions import Versions
from .fleet.simulation import FleetSimulation
from .store.store_fakes import system_clock_platform


def test_poll_of_an_unavailable_table_raises_nothing_and_the_next_poll_succeeds():
    bench = system_clock_platform()
    node = FleetSimulation(1).all()[0]
    configuration = ConfigurationInForce(
        Versions(bench.client(), bench.clock), node, bench.clock, lambda _: None
    )
    bench.faults.down = True
    curio.run(configuration.poll)
    assert node.version_tracker.table_read_at is None
    bench.faults.down = False
    curio.run(configuration.poll)
    assert node.version_tracker.table_read_at is not None
