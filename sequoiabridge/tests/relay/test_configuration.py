"""Which configuration is in force."""

from ...balancing.routes import CallLimits, RouteTable
from ...relay.configuration import Configuration
from .fakes import decision_log


def test_an_older_version_never_replaces_a_newer_one():
    log, _ = decision_log()
    applied = []
    configuration = Configuration(log, lambda table: applied.append(table.version))
    limits = CallLimits(1, 1, 1.0, 1.0)
    taken = [configuration.offer(RouteTable(n, {}, {}, limits)) for n in (5, 3, 5, 9)]
    assert taken == [True, False, False, True]
    assert applied == [5, 9] and configuration.version == 9
