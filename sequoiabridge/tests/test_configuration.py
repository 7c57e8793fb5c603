"""The configuration in force while the platform's store is unavailable."""

import curio

from ..config.change import Change, SetEntry
from ..configuration import ConfigurationInForce
from ..fleet.base import ConfigurationItem
from ..store.versions import Versions
from ..timers import Timers
from .fleet.simulation import FleetSimulation
from .store.store_fakes import system_clock_platform

CHANGE = Change([SetEntry("service", "spendview", {"path_prefix": "/spend"})])


def single_vm(bench):
    """Return the configuration of a fleet of one VM, and its timers."""
    node = FleetSimulation(1).all()[0]
    configuration = ConfigurationInForce(
        Versions(bench.client(), bench.clock), node, bench.clock, lambda _: None
    )
    timers = Timers(bench.clock)
    configuration.subscribe(timers)
    return configuration, timers


def test_accepted_change_is_in_force_and_spread_if_the_store_fails_right_after_the_commit():
    bench = system_clock_platform()
    configuration, _ = single_vm(bench)
    bench.faults.down_after = 1
    assert curio.run(configuration.propose, CHANGE, "anna", 0).ok == 1
    assert bench.faults.down
    assert (
        configuration.document().version == 1 and "spendview" in configuration.document().services
    )
    assert configuration.fleet.spreader.changes.between(1, 1, 1000)


def test_change_too_large_to_be_spread_is_read_from_the_table_at_once():
    bench = system_clock_platform()
    assert curio.run(single_vm(bench)[0].propose, CHANGE, "anna", 0).ok == 1
    configuration, timers = single_vm(bench)
    timers.run_due()[0].close()  # Skip the poll at the start of the daemon.
    configuration.fleet.version_tracker.add_change(ConfigurationItem(1, b""), 0.0)
    configuration.apply_received_changes()
    for poll in timers.run_due():
        curio.run(poll)
    assert configuration.document().version == 1
