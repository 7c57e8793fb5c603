"""Tests of the memory that a process holds for all callers together."""

import pytest

from ...callers.memory import (
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALL_SECONDS,
    Holder,
    Holding,
    MemoryBudget,
)
from ...exceptions import Refusal
from ...outcome import Outcome
from ...timers import ManualClock

LIMIT = 1_000_000
LARGE = 200_000


class FakeHolder(Holder):
    def __init__(self):
        self.evicted = False

    def evict(self):
        self.evicted = True


def make(count):
    """Return a clock, a budget, and holdings of `LARGE` bytes each."""
    clock = ManualClock()
    budget = MemoryBudget(LIMIT, clock)
    holdings = [Holding(budget, FakeHolder()) for _ in range(count)]
    for holding in holdings:
        holding.reserve(LARGE)
    return clock, budget, holdings


def test_a_reservation_beyond_the_budget_is_refused_as_not_run():
    _, budget, _ = make(3)
    with pytest.raises(Refusal) as found:
        Holding(budget, FakeHolder()).reserve(LARGE)
    assert found.value.status == 503 and found.value.outcome is Outcome.NOT_RUN
    assert budget.held == 3 * LARGE and budget.refused == 1


def test_a_part_of_the_budget_is_kept_for_small_requests():
    _, budget, _ = make(3)
    small = Holding(budget, FakeHolder())
    small.reserve(SMALL_BYTES)
    with pytest.raises(Refusal):
        small.reserve(LARGE)
    assert small.size == SMALL_BYTES


def test_stalled_callers_make_room_the_largest_first():
    clock, budget, holdings = make(3)
    small = Holding(budget, FakeHolder())
    small.reserve(1000)
    for holding in (small, *holdings[:2]):
        holding.begin_wait()
    holdings[1].release(LARGE // 2)
    holdings[1].reserve(LARGE // 4)
    clock.advance(STALL_SECONDS)
    Holding(budget, FakeHolder()).reserve(LARGE)
    evicted = [holding.holder.evicted for holding in (*holdings, small)]
    assert evicted == [True, False, False, False]
    assert budget.evicted == 1 and holdings[0].size == 0


def test_a_caller_that_sends_a_byte_now_and_then_has_stalled():
    clock, _, (holding,) = make(1)
    for _ in range(4):
        holding.begin_wait()
        clock.advance(STALL_SECONDS / 4)
        holding.end_wait(1)
    holding.begin_wait()
    assert holding.stalled_seconds() == pytest.approx(STALL_SECONDS)
    holding.end_wait(PROGRESS_BYTES)
    holding.begin_wait()
    assert holding.stalled_seconds() == 0.0


def test_a_caller_that_is_not_waited_for_has_not_stalled():
    clock, budget, _ = make(3)
    clock.advance(10 * STALL_SECONDS)
    with pytest.raises(Refusal):
        Holding(budget, FakeHolder()).reserve(LARGE)
    assert budget.evicted == 0


def test_released_memory_can_be_reserved_again():
    _, budget, holdings = make(3)
    holdings[0].release()
    Holding(budget, FakeHolder()).reserve(LARGE)
    assert budget.held == 3 * LARGE and len(budget.holdings) == 3
