"""When upstreams can no longer read calls of the earlier process of a VM."""

import pytest

from ...balancing.candidates import Candidates
from ...balancing.predecessor_calls import MAX_UNREAD_SECONDS, PredecessorCalls
from ...balancing.retry_budget import RetryBudget, RetryLimit
from ...relay.upstreams import UpstreamList
from ...timers import ManualClock
from ..relay.fakes import decision_log, record

STARTED = 100.0


class Restarted:
    """A process that has just started, and its two upstreams."""

    def __init__(self, first_start=False):
        clock = ManualClock(STARTED)
        self.known = UpstreamList("here", clock, decision_log(clock)[0], lambda u: None)
        self.known.update([record("a", born=1), record("b", born=1)], [], 1)
        candidates = Candidates("vm", self.known)
        self.predecessor = PredecessorCalls(candidates, STARTED, first_start)

    def settled(self, now):
        """Return the time since which no call can be read, as known at `now`."""
        return self.predecessor.time_settled("s", now)

    def answer(self, id, sent_at):
        """Let an upstream answer something that was sent at `sent_at`."""
        self.known.by_id[id].stats.record_settled(sent_at)


def test_calls_can_be_read_until_all_upstreams_have_answered():
    restarted = Restarted()
    assert restarted.settled(101.0) == 101.0
    restarted.answer("a", 101.0)
    assert restarted.settled(105.0) == 105.0
    assert [u.id for u in restarted.predecessor.unanswered(105.0)] == ["b"]
    restarted.answer("b", 106.0)
    assert restarted.settled(110.0) == 105.0


@pytest.mark.parametrize("born", [2, 3])
def test_an_upstream_that_has_started_again_reads_no_earlier_calls(born):
    restarted = Restarted()
    restarted.answer("a", 101.0)
    assert restarted.settled(101.0) == 101.0
    restarted.known.update([record("b", born=born)], [], 2)
    assert restarted.settled(109.0) == 101.0


def test_a_silent_upstream_counts_as_dead_in_the_end():
    restarted = Restarted()
    assert restarted.settled(110.0) == 110.0
    assert restarted.settled(STARTED + MAX_UNREAD_SECONDS + 1.0) == 110.0


def test_without_an_earlier_process_there_are_no_such_calls():
    assert Restarted(first_start=True).settled(105.0) == STARTED


def test_the_small_share_of_a_new_process_lasts_until_a_window_after_the_last_such_call():
    restarted = Restarted()
    budget = RetryBudget(RetryLimit(0.2, 10.0, 62.0), restarted.settled)
    for number in range(200):
        budget.record_call(120.0 + number / 100)
    small = budget.dump(122.0)["allowed_in_window"]
    restarted.answer("a", 122.0)
    restarted.answer("b", 122.0)
    for number in range(200):
        budget.record_call(130.0 + number / 100)
    assert budget.dump(131.0)["allowed_in_window"] <= 2 * small
    assert budget.dump(133.0)["allowed_in_window"] > 3 * small
