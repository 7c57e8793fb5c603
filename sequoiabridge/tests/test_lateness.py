"""Tests of the record of delays."""

from ..lateness import MAX_DELAY, WINDOW_SECONDS, Lateness


def test_the_greatest_delay_counts_while_it_is_recent():
    lateness = Lateness()
    assert lateness.at(5.0) == 0.0
    lateness.record(10.0, 10.5)
    lateness.record(11.0, 11.1)
    assert lateness.at(11.1) == 0.5
    assert round(lateness.at(10.5 + WINDOW_SECONDS + 0.1), 3) == 0.1
    assert lateness.at(20.0) == 0.0 and lateness.worst == 0.5


def test_what_is_called_early_is_not_late():
    lateness = Lateness()
    lateness.record(10.0, 9.9)
    assert lateness.at(9.9) == 0.0


def test_a_process_is_late_for_a_second_after_a_great_delay():
    lateness = Lateness()
    lateness.record(10.0, 10.0 + MAX_DELAY / 2)
    assert not lateness.is_late(10.2)
    lateness.record(11.0, 11.2)
    assert lateness.is_late(11.2) and lateness.is_late(12.1) and not lateness.is_late(12.3)
