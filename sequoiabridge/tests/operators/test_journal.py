"""Tests of the journal: its limits, sampling, and the lines of `explain`."""

from ...exceptions import Refusal
from ...operators.journal import MAX_NOTES, Journal
from ...operators.steps import AttemptFailed, RetryDecision, UpstreamChosen
from ...outcome import Outcome, Reason
from ...policy.base import Failure, ScoredUpstream
from ...timers import ManualClock


def record(journal, request_id, **more):
    journal.record(request_id, "spendview", "read", "a1", 200, 0.02, journal.clock.now(), **more)


def test_the_journal_is_bounded_and_plain_calls_do_not_evict_refusals():
    journal = Journal(
        ManualClock(), "vm1", max_recent_calls=10, max_detailed_calls=5, max_detailed_bytes=10_000
    )
    refusal = Refusal(503, Outcome.NOT_RUN, Reason.QUEUE_FULL, "Try again later.")
    record(journal, "refused", refusal=refusal)
    for number in range(100):
        record(journal, f"plain-{number}")
    assert len(journal.recent) == 10
    assert journal.refusals()[0].reason == "queue-full"
    for number in range(6):
        record(journal, f"retried-{number}", attempts=2)
    assert (len(journal.detailed), journal.find("refused")) == (5, None)
    record(journal, "long", notes=["x" * 9_000])
    assert [entry.id for entry in journal.detailed] == ["retried-4", "retried-5", "long"]
    assert journal.detailed_bytes <= journal.max_detailed_bytes
    record(journal, "longer", notes=["x" * 11_000])
    assert (len(journal.detailed), journal.detailed_bytes) == (0, 0)


def test_only_the_first_and_last_notes_of_a_call_are_stored():
    journal = Journal(ManualClock(), "vm1")
    notes = [f"note {number}" for number in range(1000)]
    record(journal, "r1", notes=notes)
    notes.append("a late note")
    lines = journal.explain("r1")
    assert len(lines) <= MAX_NOTES + 3
    assert (lines[1], lines[-2]) == ("note 0", "note 999")


def test_explain_lists_candidates_failures_and_retry_decisions():
    journal = Journal(ManualClock(), "vm1", sample_interval=2)
    candidates = [
        ScoredUpstream("a1", 0.5, "1 in flight, 4 ms old"),
        ScoredUpstream("a2", 2.0, "3 in flight"),
    ]
    notes = [
        UpstreamChosen("a1", candidates),
        AttemptFailed("a1", Failure.SHED, sent=True, seconds=0.004),
        RetryDecision("retry", True, "the upstream said that it did not run"),
        RetryDecision("hedge", False, "the budget is spent"),
    ]
    record(journal, "r1", attempts=2, notes=notes)
    assert journal.explain("r1")[1:] == [
        "chose a1; scores: a1 0.5 (1 in flight, 4 ms old); a2 2 (3 in flight)",
        "a1 failed after 4.0 ms: shed, may have reached the upstream",
        "retry: the upstream said that it did not run",
        "no hedge: the budget is spent",
        "answered 200 by a1 after 20.0 ms and 2 attempts",
    ]
    assert journal.explain("r2") is None
    assert [journal.should_sample() for _ in range(4)] == [False, True, False, True]
