"""The look at the table for a newer configuration, while the platform is down."""

import curio

from ..configuration import ConfigurationInForce
from ..store.versions import Versions
from .fleet.pump import Pump
from .store.store_fakes import system_clock_platform


def test_a_look_at_a_table_that_is_down_ends_in_peace_and_the_next_one_succeeds():
    bench = system_clock_platform()
    node = Pump(1).all()[0]
    configuration = ConfigurationInForce(
        Versions(bench.client(), bench.clock), node, bench.clock, lambda _: None
    )
    bench.faults.down = True
    curio.run(configuration.poll)
    assert node.currency.table_at is None
    bench.faults.down = False
    curio.run(configuration.poll)
    assert node.currency.table_at is not None
