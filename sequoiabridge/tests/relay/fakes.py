"""Factories of upstreams and decision logs for tests of the relay and of balancing."""

from ...balancing.load import UpstreamLoad
from ...balancing.upstream import Upstream, UpstreamRecord
from ...relay.decisions import DecisionLog
from ...timers import ManualClock


def record(id, service="s", data_centre="here", draining=False, address="", cold=0.0, born=None):
    """Return an upstream's entry in the platform's list."""
    address = address or f"{id}:1"
    return UpstreamRecord(id, service, address, data_centre, 2, draining, cold, "v1", born)


def upstream(id="u", is_local=True, load=(0, 0, 2, 1.0), now=0.0, **more):
    """Return an upstream with a fresh load report, or without one if `load` is None."""
    created = Upstream(record(id, **more), is_local, now)
    if load is not None:
        created.stats.record_load_report(UpstreamLoad(*load), now)
    return created


def decision_log(clock=None):
    """Return a decision log and the list to which it appends its lines."""
    lines = []
    return DecisionLog("vm", clock or ManualClock(), lines.append), lines
