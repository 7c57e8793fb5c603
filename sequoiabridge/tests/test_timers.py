"""The timer service."""

from ..timers import MAX_WAIT_SECONDS, ManualClock, OnDemandTimer, Timers


def make_timers():
    clock = ManualClock()
    return clock, Timers(clock)


def test_callbacks_are_called_in_order_of_time():
    clock, timers = make_timers()
    calls = []
    timers.after(2.0, "late", lambda: calls.append("late"))
    timers.after(1.0, "early", lambda: calls.append("early"))
    clock.advance(3.0)
    timers.run_due()
    assert calls == ["early", "late"]


def test_cancelled_callback_is_not_called():
    clock, timers = make_timers()
    calls = []
    timers.after(1.0, "gone", lambda: calls.append("gone")).cancel()
    clock.advance(2.0)
    timers.run_due()
    assert calls == []


def test_calls_missed_during_a_pause_are_skipped():
    clock, timers = make_timers()
    calls = []
    timers.every(1.0, "beat", lambda: calls.append(clock.now()))
    clock.advance(60.0)
    timers.run_due()
    assert len(calls) <= 2
    assert timers.next_due() <= 1.0


def test_on_demand_timer_stops_without_work_and_restarts_on_wake():
    clock, timers = make_timers()
    work, calls = [1], []
    timer = OnDemandTimer(timers, 1.0, "work", lambda: calls.append(work.pop()), lambda: bool(work))
    timer.wake()
    timer.wake()
    for _ in range(3):
        clock.advance(1.0)
        timers.run_due()
    assert calls == [1] and timers.next_due() == MAX_WAIT_SECONDS
    work.append(2)
    timer.wake()
    clock.advance(1.0)
    timers.run_due()
    assert calls == [1, 2]


def test_failing_callback_stops_neither_itself_nor_others():
    clock, timers = make_timers()
    calls = []

    def fail():
        calls.append("failed")
        raise ValueError

    timers.every(1.0, "bad", fail)
    timers.every(1.0, "good", lambda: calls.append("good"))
    for _ in range(2):
        clock.advance(1.0)
        timers.run_due()
    assert calls == ["failed", "good", "failed", "good"]
