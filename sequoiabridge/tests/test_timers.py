"""The timer service: order, repetition, cancellation, and no catching up after a pause."""

from ..timers import MAX_WAIT_SECONDS, ManualClock, OnDemandTimer, Timers


def make():
    clock = ManualClock()
    return clock, Timers(clock)


def test_calls_in_order_of_time():
    clock, timers = make()
    calls = []
    timers.after(2.0, "late", lambda: calls.append("late"))
    timers.after(1.0, "early", lambda: calls.append("early"))
    clock.advance(3.0)
    timers.run_due()
    assert calls == ["early", "late"]


def test_a_cancelled_subscription_is_never_called():
    clock, timers = make()
    calls = []
    timers.after(1.0, "gone", lambda: calls.append("gone")).cancel()
    clock.advance(2.0)
    timers.run_due()
    assert calls == []


def test_a_pause_of_the_process_is_not_made_up_for():
    clock, timers = make()
    calls = []
    timers.every(1.0, "beat", lambda: calls.append(clock.now()))
    clock.advance(60.0)
    timers.run_due()
    assert len(calls) <= 2
    assert timers.next_due() <= 1.0


def test_on_demand_work_ends_when_nothing_is_left_and_begins_anew():
    clock, timers = make()
    work, calls = [1], []
    looks = OnDemandTimer(timers, 1.0, "look", lambda: calls.append(work.pop()), lambda: bool(work))
    looks.wake()
    looks.wake()
    for _ in range(3):
        clock.advance(1.0)
        timers.run_due()
    assert calls == [1] and timers.next_due() == MAX_WAIT_SECONDS
    work.append(2)
    looks.wake()
    clock.advance(1.0)
    timers.run_due()
    assert calls == [1, 2]


def test_a_callback_that_fails_ends_neither_itself_nor_the_others():
    clock, timers = make()
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
