"""A short soak with fixed seeds; each seed that ever failed stays here, with its cause."""

import curio
import pytest

from ....selector import LazySelector
from .oracle import APPROVE, DRAIN_BOUND, MARK, READ, Record, Run, Told, broken
from .plan import Soak

SEEDS = [
    pytest.param(1, 14.0, id="1"),
    # Reads ran at 3 upstreams: a hedge that was still connecting did not count as an attempt.
    pytest.param(13, 20.0, id="13"),
    # Calls refused in the calm end: callers went to a daemon that said it was not ready yet.
    pytest.param(18, 20.0, id="18"),
]
"""Seed and seconds."""


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_no_promise_is_broken(seed, seconds):
    soak = Soak(seed, seconds, daemons=4)
    try:
        assert curio.run(soak.run, selector=LazySelector()) == []
        assert len(soak.deployment.record.told) > 200
    finally:
        soak.close()


def told(kind, status=200, whole=True, sent=10.0, body=b"u1 c1 0"):
    call = Told("c1", kind, "vm-1", sent)
    call.status, call.whole, call.body, call.connected = status, whole, body, True
    call.ended = sent + 0.1
    return call


@pytest.mark.parametrize(
    ("call", "runs", "word"),
    [
        (told(APPROVE), 2, "ran 2 times"),
        (told(READ), 3, "ran at 3 upstreams"),
        (told(APPROVE, 503), 1, "told 503, and ran"),
        (told(READ, body=b"u1 c2 0"), 1, "got the answer"),
        (told(READ, body=b"u9 c1 0"), 1, "which did not run it"),
        (told(MARK), 1, "allowed"),
    ],
)
def test_the_oracle_sees_each_kind_of_broken_promise(call, runs, word):
    record = Record()
    record.told.append(call)
    record.marks = [(0.0, "other"), (1.0, "new")]
    record.runs = [Run("c1", f"u{n + 1}", "reads", 10.0, 0) for n in range(runs)]
    assert any(word in sentence for sentence in broken(record))


def test_the_oracle_sees_late_work_unasked_work_and_calls_cut_by_a_stop():
    record = Record()
    record.drains["u1"] = 10.0
    record.runs.append(Run("c9", "u1", "reads", 10.0 + DRAIN_BOUND + 1, 0))
    record.told.append(told(READ, status=200, whole=False, sent=20.0))
    record.stops.append((20.0, "vm-1"))
    text = " ".join(broken(record))
    assert "nobody sent it" in text and "after it left" in text and "cut off by the stop" in text
    record.faults.append((9.0, 25.0, "anything"))
    text = " ".join(broken(record))
    assert "after it left" not in text and "cut off" not in text and "nobody sent it" in text
