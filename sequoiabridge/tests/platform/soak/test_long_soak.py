"""Short soak runs of long calls with fixed seeds, and tests of their checks."""

import pytest

from .ends import check_ends, check_late_calls
from .long_soak import LongScenario, LongSoak
from .record import LONG, READ, CallRecord, Record, UpstreamRun
from .runner import run_soak


@pytest.mark.parametrize(
    ("scenario", "seed", "seconds"),
    [
        # Calls on idle connections were run 3.0 to 3.3 s after a stop began, and cut off.
        (LongScenario.STOPS, 1, 22.0),
        # Uploads were run without their buffered beginning.
        (LongScenario.RESETS, 2, 22.0),
        # Answers beyond the buffer that hung had no end.
        (LongScenario.HANGS, 1, 16.0),
        # Input without end kept a daemon from all other work.
        (LongScenario.FLOODS, 1, 16.0),
        (LongScenario.RANDOM, 1, 20.0),
    ],
)
def test_long_calls_are_whole_and_end_in_time(scenario, seed, seconds):
    assert run_soak(LongSoak(seed, seconds, daemons=3, scenario=scenario, reads=12)) == []


def make_call(kind, sent_at, ended_at, timeout=6.0):
    call = CallRecord("c1", kind, "vm-1", sent_at)
    call.ended_at, call.timeout = ended_at, timeout
    return call


def test_the_oracle_detects_a_call_without_an_end():
    record = Record()
    record.checks_ends = True
    record.calls = [make_call(READ, 10.0, 11.9, timeout=1.0)]
    assert check_ends(record) == []
    record.calls = [make_call(READ, 10.0, 12.1, timeout=1.0)]
    assert len(check_ends(record)) == 1
    record.disturbances.append((9.0, 11.0, "vm-1"))
    assert check_ends(record) == []


def test_the_oracle_detects_a_late_call_that_ran_and_was_cut_off():
    record = Record()
    record.checks_late_calls = True
    record.stops.append((10.0, "vm-1"))
    runs = {"c1": [UpstreamRun("c1", "u1", "reads", 13.2, 0)]}
    record.calls = [make_call(LONG, 13.1, 15.6, timeout=2.0)]
    assert check_late_calls(record, runs) == []
    record.calls = [make_call(LONG, 13.1, 15.6)]
    assert len(check_late_calls(record, runs)) == 1 and check_late_calls(record, {}) == []
    record.calls = [make_call(LONG, 12.9, 15.6)]
    assert check_late_calls(record, runs) == []
    record.calls = [make_call(LONG, 12.9, 14.0)]
    assert len(check_late_calls(record, runs)) == 1
