"""Short soak runs of planned stops with fixed seeds, and tests of their checks."""

import pytest

from .record import ORDER, Arrival, CallRecord, Record, UpstreamRun
from .runner import run_soak
from .stop_soak import StopScenario, StopSoak
from .stops import check_lost_calls, check_service


@pytest.mark.parametrize(
    ("scenario", "seed", "grace", "busy", "share"),
    [
        (StopScenario.SERIES, 1, 6.0, 0, 1.0),
        # Daemons that lacked processor time were killed with calls open.
        (StopScenario.SERIES, 1, 6.0, 0, 0.15),
        (StopScenario.RANDOM, 2, 3.0, 24, 1.0),
    ],
)
def test_planned_stops_lose_no_call(scenario, seed, grace, busy, share):
    soak = StopSoak(seed, 16.0, 2, scenario, call_rate=70.0, grace=grace, busy=busy, share=share)
    assert run_soak(soak) == []


def stopped_record():
    """Return a record of a stop at 10.0 with a grace period of 6 s."""
    record = Record()
    record.grace = 6.0
    record.stops.append((10.0, "vm-1"))
    return record


def add_call(record, sent_at, ended_at, status, timeout=8.0):
    """Add a call that was sent whole at once; status 0 stands for a close."""
    call = CallRecord(f"c{len(record.calls)}", ORDER, "vm-1", sent_at)
    call.sent_whole_at, call.ended_at, call.timeout = sent_at, ended_at, timeout
    call.status, call.is_complete = status, status != 0
    record.calls.append(call)
    return call


def run_of(call, started_at, worked_until, is_finished):
    """Return the run of a call at an upstream."""
    run = UpstreamRun(call.id, "u1", "reads", started_at, 0)
    run.worked_until, run.is_finished = worked_until, is_finished
    return {call.id: [run]}


def test_the_oracle_detects_a_call_that_was_run_and_closed():
    record = stopped_record()
    call = add_call(record, 10.5, 14.0, 0)
    assert len(check_lost_calls(record, run_of(call, 10.6, 14.0, False))) == 1
    record.grace = None
    assert check_lost_calls(record, run_of(call, 10.6, 14.0, False)) == []


def test_the_oracle_detects_an_answer_in_place_of_that_of_an_upstream():
    record = stopped_record()
    call = add_call(record, 10.5, 15.8, 504, timeout=5.0)
    assert len(check_lost_calls(record, run_of(call, 10.6, 13.2, True))) == 1
    assert check_lost_calls(record, run_of(call, 10.6, 15.8, False)) == []
    call.is_upstreams_own = True
    assert check_lost_calls(record, run_of(call, 10.6, 13.2, True)) == []


def test_the_oracle_excuses_what_still_runs_in_the_last_sixth_of_the_grace_period():
    record = stopped_record()
    call = add_call(record, 12.9, 15.6, 502)
    assert check_lost_calls(record, run_of(call, 13.0, 15.6, False)) == []
    assert len(check_lost_calls(record, run_of(call, 13.0, 14.9, False))) == 1
    call.ended_at = 14.6
    assert len(check_lost_calls(record, run_of(call, 13.0, 15.6, False))) == 1
    call.ended_at = 15.6
    call.sent_at = call.sent_whole_at = 13.1
    assert len(check_lost_calls(record, run_of(call, 13.2, 15.6, False))) == 1


def test_the_oracle_detects_a_call_that_no_upstream_got_and_nobody_answered():
    record = stopped_record()
    add_call(record, 11.0, 16.0, 0)
    assert len(check_lost_calls(record, {})) == 1
    record = stopped_record()
    add_call(record, 11.0, 11.1, 0)
    add_call(record, 11.0, 11.1, 503)
    add_call(record, 11.0, 12.0, 0, timeout=1.0)
    assert check_lost_calls(record, {}) == []


def test_the_oracle_leaves_out_what_the_next_process_was_sent_and_what_faults_disturbed():
    record = stopped_record()
    call = add_call(record, 14.0, 15.0, 0)
    record.starts.append((13.5, "vm-1"))
    assert check_lost_calls(record, run_of(call, 14.1, 15.0, False)) == []
    record.starts.clear()
    record.faults.append((13.0, 14.5, "kill vm-1"))
    assert check_lost_calls(record, run_of(call, 14.1, 15.0, False)) == []


def test_the_oracle_detects_a_call_that_was_closed_after_an_upstream_had_got_it():
    record = stopped_record()
    call = add_call(record, 11.0, 11.1, 0)
    assert check_lost_calls(record, {}) == []
    record.arrivals.append(Arrival(call.id, "approvals", 11.05))
    assert len(check_lost_calls(record, {})) == 1


def test_the_oracle_detects_a_call_that_a_reload_cut():
    record = Record()
    record.grace = 6.0
    record.reloads.append((10.0, "vm-1"))
    add_call(record, 9.5, 10.5, 0)
    add_call(record, 12.5, 13.5, 0)
    assert len(check_lost_calls(record, {})) == 1


def test_the_oracle_detects_daemons_that_serve_too_few_calls_sent_before_a_stop():
    record = stopped_record()
    for number in range(20):
        add_call(record, 9.0 + 0.01 * number, 11.0, 200 if number else 503)
    assert check_service(record) == []
    add_call(record, 9.5, 11.0, 503)
    assert len(check_service(record)) == 1
