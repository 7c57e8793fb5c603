"""Upstreams, calls and a log for tests of the relay's decisions."""

from ...balancing.load import UpstreamLoad
from ...balancing.upstream import Upstream, UpstreamRecord
from ...relay.decisions import DecisionLog
from ...timers import ManualClock


def record(id, service="s", zone="here", draining=False, address="", cold=0.0, born=None):
    """Return an entry of the platform's list."""
    address = address or f"{id}:1"
    return UpstreamRecord(id, service, address, zone, 2, draining, cold, "v1", born)


def upstream(id="u", near=True, load=(0, 0, 2, 1.0), now=0.0, **more):
    """Return an upstream that has just told its load."""
    made = Upstream(record(id, **more), near, now)
    if load is not None:
        made.stats.record_load_report(UpstreamLoad(*load), now)
    return made


def decision_log(clock=None):
    """Return a log and the list that takes its lines."""
    lines = []
    return DecisionLog("vm", clock or ManualClock(), lines.append), lines
