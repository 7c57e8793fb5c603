"""Short soak runs with requests that crash upstreams, and tests of their oracle."""

import json

import pytest

from .crash_soak import CrashScenario, CrashSoak
from .crashes import MAX_LATE_SENDS, check_crashes
from .faulty_gateway import DIVIDE_BLAME, IGNORE_CRASHES
from .record import READ, Arrival, CallRecord, Record
from .runner import run_soak


def crash_soak(scenario, requests, rate, daemons=4, reads=14, seconds=20.0, seed=1):
    """Return a soak whose upstreams are back 3 s after a crash."""
    return CrashSoak(seed, seconds, daemons, scenario, reads, requests, rate, back_after=3.0)


def test_a_crashing_request_is_not_sent_on_when_it_comes_from_several_addresses():
    # Each address of its callers had a name of its own at the daemons.
    assert run_soak(crash_soak(CrashScenario.ADDRESSES, 1, 6.0, daemons=6)) == []


def test_several_crashing_requests_are_not_sent_on():
    # The crashes of each counted against the blame of the others.
    assert run_soak(crash_soak(CrashScenario.TOGETHER, 5, 10.0, reads=18)) == []


def test_a_crashing_request_is_not_sent_on_when_upstreams_crash_after_the_head_of_the_answer():
    # Such a crash did not count.
    assert run_soak(crash_soak(CrashScenario.HEADS, 1, 3.0)) == []


def test_a_crashing_request_is_not_sent_on_after_all_daemons_were_killed():
    # Nobody knew of it any more.
    assert run_soak(crash_soak(CrashScenario.RESTARTS, 1, 8.0, seconds=26.0)) == []


def test_crashing_requests_are_not_sent_on_beside_random_faults():
    assert run_soak(CrashSoak(1, 24.0, 5)) == []


def test_the_soak_detects_daemons_that_block_no_request():
    soak = crash_soak(CrashScenario.TOGETHER, 2, 4.0, seconds=16.0)
    soak.deployment.daemon_options = [IGNORE_CRASHES]
    assert any("late sends" in violation for violation in run_soak(soak))


def test_the_soak_detects_daemons_that_divide_the_blame_among_all_causes():
    # Without a bound, crashing requests protected each other.
    soak = crash_soak(CrashScenario.TOGETHER, 8, 16.0, reads=24, seconds=24.0)
    soak.deployment.daemon_options = [DIVIDE_BLAME]
    assert any("late sends" in violation for violation in run_soak(soak))


def crash_record(sends):
    """Return a record of a request that crashed three upstreams until 5.0, and was sent again."""
    record = Record()
    for number, at in enumerate([1.0, 3.0, 5.0, *sends]):
        call = CallRecord(f"c{number}", READ, "vm-1", at - 0.1, "/read/crashing-0")
        record.calls.append(call)
        record.arrivals.append(Arrival(call.id, "reads", at, f"u{number}"))
    record.crashes = [(1.0, "c0"), (3.0, "c1"), (5.0, "c2")]
    return record


def test_the_oracle_counts_what_is_sent_later_than_3_s_after_the_third_crash():
    late = [8.1, 8.2, 8.3]
    assert len(late) == MAX_LATE_SENDS
    assert check_crashes(crash_record([5.1, 7.9, *late])) == []
    (violation,) = check_crashes(crash_record([*late, 9.0]))
    assert violation == "/read/crashing-0: 3 crashes, 4 late sends, 0 refused"


def test_the_oracle_counts_anew_once_all_daemons_have_ended_while_the_store_was_away():
    record = crash_record([8.1, 8.2, 8.3, 9.0])
    record.amnesias = [6.0]
    assert check_crashes(record) == []
    record.crashes += [(6.5, "c3"), (6.6, "c4"), (6.7, "c5")]
    assert check_crashes(record) == []
    for number, at in enumerate((9.8, 9.9, 10.0, 10.1)):
        record.calls.append(CallRecord(f"d{number}", READ, "vm-1", at, "/read/crashing-0"))
        record.arrivals.append(Arrival(f"d{number}", "reads", at, "u"))
    assert len(check_crashes(record)) == 1


@pytest.mark.parametrize(
    ("kill", "violated"),
    [((3.9, "vm-1"), False), ((3.9, "vm-2"), True), ((2.9, "vm-1"), True), ((6.1, "vm-1"), True)],
)
def test_the_oracle_leaves_out_a_crash_whose_daemon_was_killed_before_it_noticed(kill, violated):
    # The daemon that waits for the answer of a silent upstream learns of its end after 2 s.
    record = crash_record([8.1, 8.2, 8.3, 9.0])
    record.kills = [kill]
    assert len(check_crashes(record)) == 1
    record.notice_seconds = 1.0
    assert bool(check_crashes(record)) == violated


@pytest.mark.parametrize(("last", "violated"), [(24.0, False), (26.0, True)])
def test_the_oracle_detects_a_harmless_request_that_stays_blocked(last, violated):
    record = crash_record([])
    for number, at in enumerate((10.0, last)):
        call = CallRecord(f"page-{number}", READ, "vm-1", at, "/read/page")
        call.status, call.is_complete, call.ended_at = 503, True, at + 0.01
        call.body = json.dumps({"reason": "crashes-upstreams"}).encode()
        record.calls.append(call)
    assert bool(check_crashes(record)) == violated


def test_the_oracle_detects_a_blocked_request_that_is_refused_late():
    record = crash_record([])
    call = CallRecord("c9", READ, "vm-1", 10.0, "/read/crashing-0")
    call.status, call.is_complete, call.ended_at = 503, True, 10.7
    call.body = json.dumps({"reason": "crashes-upstreams"}).encode()
    record.calls.append(call)
    (violation,) = check_crashes(record)
    assert violation == "c9: refused as crashing only after 0.70 s"
    record.stalls = [(9.0, 10.1), (10.65, 11.0)]
    assert len(check_crashes(record)) == 1
    record.stalls = [(9.9, 10.3)]
    assert check_crashes(record) == []
    record.stalls, record.fingerprints = [], {"c9": "f"}
    record.blocks = {("vm-2", "f"): [10.5], ("vm-1", "f"): [10.1, 10.8]}
    assert len(check_crashes(record)) == 1
    record.blocks["vm-1", "f"].append(10.3)
    assert check_crashes(record) == []
