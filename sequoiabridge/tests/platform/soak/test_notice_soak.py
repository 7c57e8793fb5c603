"""Short runs with fixed seeds in which upstreams ask for rest or leave, and tests of the oracle."""

import pytest

from .faulty_gateway import IGNORE_DEPARTURES, IGNORE_RESTS
from .notice_soak import NoticeScenario, NoticeSoak
from .notices import check_departures, check_rests
from .record import READ, Arrival, CallRecord, Record, RestAsked
from .runner import run_soak


def run_notice_soak(seed, seconds, daemons, scenario, **more):
    """Return the violations of a run in which upstreams say what calls they want."""
    return run_soak(NoticeSoak(seed, seconds, daemons, scenario, **more))


@pytest.mark.parametrize(
    "more",
    [
        pytest.param({}, id="some-calls-rejected"),
        pytest.param({"rejected": 1.0, "rest": "2.5"}, id="all-calls-rejected"),
        pytest.param({"skew": 0.8, "rest": "4"}, id="one-daemon-with-most-calls"),
    ],
)
def test_an_upstream_that_asked_a_daemon_for_rest_gets_no_calls_from_it(more):
    # The daemons did not read the rest.
    assert run_notice_soak(1, 18.0, 6, NoticeScenario.REST, **more) == []


@pytest.mark.parametrize("affected", [1, 4])
def test_an_upstream_that_said_that_it_leaves_gets_no_calls(affected):
    # The daemons did not read it.
    assert run_notice_soak(1, 16.0, 6, NoticeScenario.LEAVING, affected=affected) == []


@pytest.mark.parametrize(
    ("scenario", "option", "message"),
    [
        (NoticeScenario.REST, IGNORE_RESTS, "in a rest of"),
        (NoticeScenario.LEAVING, IGNORE_DEPARTURES, "that it leaves"),
    ],
)
def test_the_soak_detects_daemons_that_ignore_what_upstreams_say(scenario, option, message):
    soak = NoticeSoak(1, 16.0, 4, scenario)
    soak.deployment.daemon_options = [option]
    assert any(message in violation for violation in run_soak(soak))


def test_rests_departures_and_limits_hold_together_under_faults():
    # As above, for what daemons know after restarts, pauses and lost messages.
    assert run_notice_soak(1, 30.0, 13, NoticeScenario.RANDOM, call_rate=60.0) == []


def rest_record(arrivals, seconds=3.0):
    """Return a record of one upstream that asks vm-0 for rest at 10.0, and of arrivals.

    Args:
        arrivals: Times and daemons of the arrivals.
    """
    record = Record()
    record.upstream_starts = [(0.0, "u1")]
    record.rests = [RestAsked("rejected", "u1", 10.0, seconds)]
    record.calls.append(CallRecord("rejected", READ, "vm-0", 9.9))
    for number, (at, daemon) in enumerate(arrivals):
        record.calls.append(CallRecord(f"c{number}", READ, daemon, at - 0.01))
        record.arrivals.append(Arrival(f"c{number}", "reads", at, "u1"))
    return record


IN_REST = [(10.6, "vm-0"), (11.5, "vm-0"), (12.9, "vm-0")]


def test_the_oracle_detects_calls_in_a_rest():
    assert check_rests(rest_record(IN_REST[:2])) == []
    (violation,) = check_rests(rest_record(IN_REST))
    assert violation == "u1: 3 calls of vm-0 in a rest of 3.0 s from 10.00 on, allowed 2"
    assert check_rests(rest_record(IN_REST, seconds=2.0)) == []
    assert check_rests(rest_record([*IN_REST[:2], (10.4, "vm-0")])) == []
    assert check_rests(rest_record([*IN_REST[:2], (12.0, "vm-1")])) == []


def test_the_oracle_excuses_a_disturbed_daemon_and_a_new_lifetime():
    record = rest_record(IN_REST)
    record.disturbances = [(11.0, 11.5, "vm-1")]
    assert check_rests(record)
    record.disturbances = [(9.0, 9.5, "vm-0")]
    assert check_rests(record)
    record.disturbances = [(11.0, 11.5, "vm-0")]
    assert check_rests(record) == []
    record = rest_record(IN_REST)
    record.upstream_starts.append((12.0, "u1"))
    assert check_rests(record) == []


def leaving_record(arrivals):
    """Return a record of one upstream that tells vm-0 at 10.0 that it leaves, and of arrivals."""
    record = rest_record(arrivals)
    record.rests = []
    record.departures = [(10.0, "u1", "rejected")]
    return record


def test_the_oracle_detects_calls_at_an_upstream_that_leaves():
    assert check_departures(leaving_record([(11.9, "vm-0")])) == []
    assert check_departures(leaving_record([(15.0, "vm-1")])) == []
    (violation,) = check_departures(leaving_record([(12.1, "vm-0")]))
    assert "reached u1, of which vm-0 knew from 10.00 on that it leaves" in violation


def test_the_oracle_excuses_a_restarted_daemon_and_a_new_lifetime_of_an_upstream_that_left():
    record = leaving_record([(15.0, "vm-0")])
    record.disturbances = [(5.0, 9.0, "vm-0")]
    assert check_departures(record)
    record.disturbances = [(12.0, 13.0, "vm-0")]
    assert check_departures(record) == []
    record = leaving_record([(15.0, "vm-0")])
    record.upstream_starts.append((12.0, "u1"))
    assert check_departures(record) == []
