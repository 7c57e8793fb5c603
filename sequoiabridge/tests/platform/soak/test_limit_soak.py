"""Short runs with fixed seeds in which upstreams name limits, and tests of their oracle."""

import pytest

from .faulty_gateway import IGNORE_LIMITS
from .limit_soak import LimitScenario, LimitSoak
from .limits import check_limits
from .record import READ, Arrival, CallRecord, Record
from .runner import run_soak


def run_limit_soak(seed, seconds, daemons, scenario, **more):
    """Return the violations of a run in which upstreams name limits."""
    return run_soak(LimitSoak(seed, seconds, daemons, scenario, **more))


def test_an_upstream_with_a_limit_gets_no_more_calls_than_it_takes_from_all_daemons():
    # The daemons did not read the limit.
    assert run_limit_soak(1, 20.0, 6, LimitScenario.ONE, limit="1.3", skew=0.8) == []


def test_a_service_of_limited_upstreams_gets_no_more_calls_than_they_take():
    # As above, with no other upstream to send the calls to.
    assert run_limit_soak(1, 20.0, 6, LimitScenario.ALL, limit="2.0") == []


@pytest.mark.parametrize(
    ("seed", "seconds", "more"),
    [
        pytest.param(1, 30.0, {}, id="1"),
        # Guards against a restarted coordinator that nobody tells the limits.
        pytest.param(300, 45.0, {"reads": 5, "call_rate": 40.0}, id="300"),
    ],
)
def test_limits_hold_while_daemons_restart_pause_and_lose_messages_and_limits_change(
    seed, seconds, more
):
    # As above, for what daemons know of each other.
    assert run_limit_soak(seed, seconds, 13, LimitScenario.RANDOM, **more) == []


def test_the_soak_detects_daemons_that_take_no_notice_of_limits():
    # With all upstreams limited, some must receive too many calls, however daemons choose.
    soak = LimitSoak(1, 16.0, 4, LimitScenario.ALL)
    soak.deployment.daemon_options = [IGNORE_LIMITS]
    assert any("limit allows" in violation for violation in run_soak(soak))


def limited_record(arrivals, rate=1.0, until=40.0):
    """Return a record of an upstream with a limit from 10.0 on and of arrivals from two daemons.

    Args:
        arrivals: Times of the arrivals.
    """
    record = Record()
    record.limit_changes = [(0.0, "u1", None), (10.0, "u1", rate), (until, "u1", None)]
    for number, at in enumerate(arrivals):
        call = CallRecord(f"c{number}", READ, f"vm-{number % 2}", at)
        call.ended_at, call.limit, call.body = at + 0.1, str(rate), b"u1 c 0"
        record.calls.append(call)
        record.arrivals.append(Arrival(call.id, "reads", at, "u1"))
    return record


TOLD = [10.1, 10.2]
"""Times of the first answers, by which both daemons are told of the limit."""


def test_the_oracle_detects_more_calls_than_a_limit_allows():
    arrivals = [14.0 + n / 10 for n in range(11)]
    assert check_limits(limited_record(TOLD + arrivals)) == []
    (violation,) = check_limits(limited_record([*TOLD, *arrivals, 17.9]))
    assert violation == "u1: 12 calls within 4 s from 13.90 on, limit allows 11.0"
    assert check_limits(limited_record([*TOLD, *arrivals, 18.1])) == []
    assert check_limits(limited_record([*TOLD, *arrivals, 17.9], rate=2.0)) == []


def test_the_oracle_counts_only_daemons_that_were_told_and_were_not_disturbed():
    arrivals = [14.0 + n / 10 for n in range(12)]
    record = limited_record(TOLD + arrivals)
    assert check_limits(record)
    record.disturbances = [(12.0, 12.5, "vm-1")]
    assert check_limits(record) == []
    record.disturbances = [(9.0, 10.5, "vm-1")]
    assert check_limits(record)
    assert check_limits(limited_record(arrivals)) == []


@pytest.mark.parametrize(
    ("start", "until", "violated"), [(12.8, 40.0, False), (13.2, 40.0, True), (13.2, 15.0, False)]
)
def test_the_oracle_checks_a_limit_from_3_s_after_its_first_naming_until_it_ends(
    start, until, violated
):
    arrivals = [start + n / 100 for n in range(12)]
    record = limited_record(TOLD + arrivals, until=until)
    assert bool(check_limits(record)) == violated


def test_the_oracle_allows_what_a_lowered_limit_allowed_before():
    arrivals = [14.0 + n / 10 for n in range(16)]
    record = limited_record(TOLD + arrivals, rate=2.0)
    assert check_limits(record) == []
    record.limit_changes.append((13.0, "u1", 1.0))
    assert check_limits(record)


def test_the_oracle_expects_no_daemon_to_know_a_limit_that_all_have_forgotten():
    arrivals = [24.0 + n / 10 for n in range(12)]
    record = limited_record(TOLD + arrivals)
    record.unreadable_limits = [(15.0, "u1")]
    for call in record.calls[len(TOLD) :]:
        call.limit = "soon"
    record.starts = [(20.0, "vm-0"), (20.5, "vm-1")]
    assert check_limits(record) == []
    record.starts = [(14.0, "vm-0"), (14.5, "vm-1")]
    assert check_limits(record) == []
    record.starts = [(16.0, "vm-0"), (20.5, "vm-1")]
    assert check_limits(record)
    record.starts = [(10.15, "vm-0"), (10.25, "vm-1")]
    assert check_limits(record)
    record.unreadable_limits = []
    record.starts = [(20.0, "vm-0"), (20.5, "vm-1")]
    assert check_limits(record)
