"""Short soak runs with fixed seeds, including all that once failed, and tests of the oracle."""

import curio
import pytest

from ....selector import LazySelector
from .oracle import (
    APPROVE,
    DRAIN_SECONDS,
    MARK,
    READ,
    CallRecord,
    Record,
    UpstreamRun,
    find_violations,
)
from .soak import Soak

SEEDS = [
    pytest.param(1, 14.0, id="1"),
    # Guards against a read at 3 upstreams: a hedge still connecting must count as an attempt.
    pytest.param(13, 20.0, id="13"),
    # Guards against calls refused after the last fault: callers must skip daemons not ready.
    pytest.param(18, 20.0, id="18"),
]
"""Seed and seconds of each run."""


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_no_guarantee_is_violated(seed, seconds):
    soak = Soak(seed, seconds, daemons=4)
    try:
        assert curio.run(soak.run, selector=LazySelector()) == []
        assert len(soak.deployment.record.calls) > 200
    finally:
        soak.close()


def make_call(kind, status=200, is_complete=True, sent=10.0, body=b"u1 c1 0"):
    call = CallRecord("c1", kind, "vm-1", sent)
    call.status, call.is_complete, call.body, call.connected = status, is_complete, body, True
    call.ended_at = sent + 0.1
    return call


@pytest.mark.parametrize(
    ("call", "runs", "message"),
    [
        (make_call(APPROVE), 2, "ran 2 times"),
        (make_call(READ), 3, "ran at 3 upstreams"),
        (make_call(APPROVE, 503), 1, "answered with 503, but ran"),
        (make_call(READ, body=b"u1 c2 0"), 1, "got a wrong answer"),
        (make_call(READ, body=b"u9 c1 0"), 1, "which did not run it"),
        (make_call(MARK), 1, "allowed"),
    ],
)
def test_the_oracle_detects_each_violation_of_a_call(call, runs, message):
    record = Record()
    record.calls.append(call)
    record.route_changes = [(0.0, "other"), (1.0, "new")]
    record.runs = [UpstreamRun("c1", f"u{n + 1}", "reads", 10.0, 0) for n in range(runs)]
    assert any(message in violation for violation in find_violations(record))


def test_the_oracle_detects_late_runs_unknown_calls_and_calls_cut_off_by_a_stop():
    record = Record()
    record.drains["u1"] = 10.0
    record.runs.append(UpstreamRun("c9", "u1", "reads", 10.0 + DRAIN_SECONDS + 1, 0))
    record.calls.append(make_call(READ, status=200, is_complete=False, sent=20.0))
    record.stops.append((20.0, "vm-1"))
    text = " ".join(find_violations(record))
    assert (
        "no caller sent it" in text
        and "after its drain started" in text
        and "cut off by the graceful stop" in text
    )
    record.faults.append((9.0, 25.0, "anything"))
    text = " ".join(find_violations(record))
    assert (
        "after its drain started" not in text
        and "cut off" not in text
        and "no caller sent it" in text
    )
