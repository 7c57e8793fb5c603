"""Tests of the decision log: rate limits, counts of omitted lines, slow and closed readers."""

import json
import os

from ...relay.decisions import BAD_CALL_LIMITS, GOOD_CALL_LIMITS, MAX_PENDING_BYTES, LineWriter
from ...timers import ManualClock
from .fakes import decision_log


def test_successful_calls_beyond_the_limit_displace_no_failed_call_and_are_counted():
    clock = ManualClock(5.0)
    log, lines = decision_log(clock)
    for number in range(1000):
        log.call(True, {"id": number})
    log.call(False, {"id": "bad"})
    assert len(lines) == GOOD_CALL_LIMITS[1] + 1 and json.loads(lines[-1])["id"] == "bad"
    clock.advance(1.0)
    log.call(True, {"id": "next"})
    assert json.loads(lines[-1])["omitted_so_far"] == 1000 - GOOD_CALL_LIMITS[1]


def test_failed_calls_are_limited_too():
    log, lines = decision_log(ManualClock(5.0))
    for number in range(1000):
        log.call(False, {"id": number})
    assert len(lines) == BAD_CALL_LIMITS[1] and log.omitted == 1000 - BAD_CALL_LIMITS[1]


def test_a_slow_reader_does_not_block_the_writer():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    lines = LineWriter(writer)
    for _ in range(3000):
        lines.write(b"x" * 99 + b"\n")
    assert lines.omitted > 0 and len(lines.pending) <= MAX_PENDING_BYTES
    got = b""
    while lines.pending:
        got += os.read(reader, 1 << 20)
        lines.flush()
    os.close(writer)
    got += os.read(reader, 1 << 20)
    assert got.count(b"\n") == 3000 - lines.omitted
    assert set(got.split(b"\n")) == {b"x" * 99, b""}
    os.close(reader)


def test_a_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.close(reader)
    lines = LineWriter(writer)
    lines.write(b"a\n")
    assert lines.omitted == 1 and not lines.pending
    os.close(writer)
