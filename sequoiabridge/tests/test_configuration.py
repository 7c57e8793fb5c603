"""The configuration in force, over real versions and a real fleet node; the platform fails."""

import curio

from ..config.change import Change, SetEntry
from ..configuration import ConfigurationInForce
from ..fleet.base import ConfigurationItem
from ..store.versions import Versions
from ..timers import Timers
from .fleet.pump import Pump
from .store.store_fakes import system_clock_platform

CHANGE = Change([SetEntry("service", "spendview", {"path_prefix": "/spend"})])


def alone(bench):
    """Return the configuration of a fleet of one VM, and its timers."""
    node = Pump(1).all()[0]
    configuration = ConfigurationInForce(
        Versions(bench.client(), bench.clock), node, bench.clock, lambda _: None
    )
    timers = Timers(bench.clock)
    configuration.subscribe(timers)
    return configuration, timers


def test_an_accepted_change_is_in_force_and_spread_though_the_store_is_down_right_after():
    bench = system_clock_platform()
    configuration, _ = alone(bench)
    bench.faults.down_after = 1
    assert curio.run(configuration.propose, CHANGE, "anna", 0).ok == 1
    assert bench.faults.down
    assert (
        configuration.document().version == 1 and "spendview" in configuration.document().services
    )
    assert configuration.fleet.spreader.changes.between(1, 1, 1000)


def test_a_change_too_large_to_be_spread_is_read_from_the_table_at_once():
    bench = system_clock_platform()
    assert curio.run(alone(bench)[0].propose, CHANGE, "anna", 0).ok == 1
    configuration, timers = alone(bench)
    timers.run_due()[0].close()  # The look at the table when the daemon starts comes too early.
    configuration.fleet.currency.offer(ConfigurationItem(1, b""), 0.0)
    configuration.apply_received_changes()
    for look in timers.run_due():
        curio.run(look)
    assert configuration.document().version == 1
