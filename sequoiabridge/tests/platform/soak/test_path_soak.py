"""Short soak runs in which daemons lose their paths to the upstreams."""

import pytest

from .faulty_gateway import ASK_NO_PEERS
from .path_proxy import PathState
from .path_soak import PathScenario, PathSoak
from .paths import Cut, check_paths
from .record import READ, CallRecord, Record
from .runner import run_soak


@pytest.mark.parametrize("state", [PathState.HANGS, PathState.RESETS, PathState.LOSES_ANSWERS])
def test_callers_of_daemons_without_paths_are_served(state):
    # There was one way only to an upstream.
    assert run_soak(PathSoak(1, 18.0, 5, PathScenario.SOME, state)) == []


def test_callers_of_daemons_without_paths_to_one_service_are_served():
    # Only a loss of all paths could have been noticed.
    assert run_soak(PathSoak(1, 18.0, 5, PathScenario.SERVICE, PathState.HANGS)) == []


def test_callers_are_refused_at_once_if_no_daemon_has_a_path():
    # Each call waited for a connection until its time limit.
    assert run_soak(PathSoak(1, 18.0, 4, PathScenario.ALL, PathState.HANGS)) == []


def test_daemons_that_start_without_paths_serve_their_callers():
    assert run_soak(PathSoak(1, 20.0, 5, PathScenario.STARTS, PathState.HANGS)) == []


def test_the_soak_detects_daemons_that_ask_no_peers():
    soak = PathSoak(1, 18.0, 5, PathScenario.SOME, PathState.HANGS)
    soak.deployment.daemon_options.append(ASK_NO_PEERS)
    assert any("served" in violation for violation in run_soak(soak))


def path_record(served, failed, others):
    """Return a record of a cut from 1.0 to 9.0 with calls at the cut daemon and at another."""
    record = Record()
    record.checks_paths, record.daemons = True, frozenset({"vm-1", "vm-2"})
    record.cuts = [Cut(1.0, frozenset({"vm-1"}))]
    record.cuts[0].end = 9.0
    statuses = [("vm-1", 200)] * served + [("vm-1", 503)] * failed + [("vm-2", 200)] * others
    for number, (daemon, status) in enumerate(statuses):
        call = CallRecord(f"c{number}", READ, daemon, 4.1)
        call.status, call.is_complete, call.ended_at = status, True, 4.2
        record.calls.append(call)
    return record


@pytest.mark.parametrize(
    ("served", "failed", "violated"),
    [(40, 21, True), (42, 20, False), (0, 11, False), (0, 14, True), (60, 0, False)],
)
def test_the_oracle_compares_daemons_without_paths_with_the_others(served, failed, violated):
    record = path_record(served, failed, 140)
    assert bool(check_paths(record)) == violated
    record.disturbances = [(2.0, 5.0, "vm-1")]
    assert check_paths(record) == []


def test_the_oracle_leaves_out_the_first_seconds_of_a_cut():
    record = path_record(0, 50, 100)
    record.cuts[0].start = 1.2
    assert check_paths(record) == []


@pytest.mark.parametrize(
    ("disturbance", "peer_cut"),
    [((2.0, 5.0, "vm-2"), None), (None, (2.0, 5.0, ("vm-2", "vm-1")))],
)
def test_the_oracle_leaves_out_calls_for_which_nobody_had_a_way(disturbance, peer_cut):
    # The only daemon with paths was killed, or could not be reached by the others.
    record = path_record(0, 50, 100)
    late = CallRecord("late", READ, "vm-2", 8.5)
    late.status, late.is_complete, late.ended_at = 200, True, 8.6
    record.calls.append(late)
    assert len(check_paths(record)) == 1
    record.disturbances = [disturbance] if disturbance else []
    record.peer_cuts = [peer_cut] if peer_cut else []
    assert check_paths(record) == []


@pytest.mark.parametrize(("waited", "violated"), [(0.6, True), (0.4, False)])
def test_the_oracle_detects_late_refusals_while_nobody_has_a_path(waited, violated):
    record = path_record(0, 11, 0)
    record.daemons = frozenset({"vm-1"})
    for call in record.calls:
        call.ended_at = call.sent_at + waited
    assert bool(check_paths(record)) == violated


@pytest.mark.parametrize(("ended_at", "violated"), [(4.0, False), (6.0, True)])
def test_the_oracle_detects_reports_of_crashes_that_did_not_happen(ended_at, violated):
    record = path_record(0, 0, 0)
    record.reported_crashes = [(5.0, "vm-1", "reads-1")]
    record.upstream_ends = [(4.0, "reads-2"), (ended_at, "reads-1")]
    assert bool(check_paths(record)) == violated


@pytest.mark.parametrize(
    ("stall", "violated"),
    [
        ((4.0, 4.6, "reads-1"), False),
        ((4.0, 4.6, "reads-2"), True),
        ((1.0, 3.0, "reads-1"), True),
        ((5.1, 6.0, "reads-1"), True),
    ],
)
def test_the_oracle_leaves_out_reports_of_upstreams_that_stood_still(stall, violated):
    # They were silent for all daemons; no path was lost.
    record = path_record(0, 0, 0)
    record.reported_crashes = [(5.0, "vm-1", "reads-1")]
    record.upstream_stalls = [stall]
    assert bool(check_paths(record)) == violated
