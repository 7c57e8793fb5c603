"""Tests of the record of delays."""

from ..lateness import MAX_DELAY, WINDOW_SECONDS, Lateness


def test_the_greatest_delay_counts_while_it_is_recent():
    lateness = Lateness()
    assert lateness.recent_delay(5.0) == 0.0
    lateness.record(10.0, 10.5)
    lateness.record(11.0, 11.1)
    assert lateness.recent_delay(11.1) == 0.5
    assert round(lateness.recent_delay(10.5 + WINDOW_SECONDS + 0.1), 3) == 0.1
    assert lateness.recent_delay(20.0) == 0.0 and lateness.worst == 0.5


def test_what_is_called_early_is_not_late():
    lateness = Lateness()
    lateness.record(10.0, 9.9)
    assert lateness.recent_delay(9.9) == 0.0


def test_a_process_is_late_for_a_second_after_a_great_delay():
    lateness = Lateness()
    lateness.record(10.0, 10.0 + MAX_DELAY / 2)
    assert not lateness.is_late(10.2)
    lateness.record(11.0, 11.4)
    assert lateness.is_late(11.4) and lateness.is_late(12.3) and not lateness.is_late(12.5)


def test_what_is_overdue_counts_before_it_is_called():
    # After a pause, calls that had come were handled before the timers showed the delay.
    lateness = Lateness()
    lateness.due_at = 10.0
    assert not lateness.is_late(10.1)
    assert lateness.is_late(10.6) and lateness.recent_delay(10.6) == 10.6 - 10.0
