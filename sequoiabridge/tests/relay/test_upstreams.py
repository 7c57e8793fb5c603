"""Who may get work: drains, departures, entries that lapse while the platform is away."""

from ...relay.upstreams import LAPSE_KEPT, UpstreamList
from ...timers import ManualClock
from .fakes import decision_log, record


def listed(*ids):
    clock = ManualClock(100.0)
    log, lines = decision_log(clock)
    left = []
    known = UpstreamList("here", clock, log, lambda u: left.append(u.id))
    known.update([record(id) for id in ids], [], 1)
    return known, clock, left


def names(known):
    return sorted(u.id for u in known.of_service("s"))


def test_a_draining_and_a_missing_upstream_get_no_more_work_at_once():
    known, _, left = listed("a", "b", "c")
    known.update([record("a", draining=True)], ["b"], 2)
    assert names(known) == ["c"] and left == ["a", "b"]


def test_an_older_word_changes_nothing():
    known, _, _ = listed("a")
    known.update([], ["a"], 0)
    assert names(known) == ["a"]


def test_entries_missing_after_the_store_was_away_are_kept_until_they_must_be_back():
    known, clock, _ = listed("a", "b")
    known.store_returned()
    known.replace([record("b")], 5)
    assert names(known) == ["a", "b"]
    clock.advance(LAPSE_KEPT - 0.1)
    known.replace([record("a"), record("b")], 6)
    clock.advance(1.0)
    known.expire()
    assert names(known) == ["a", "b"]


def test_a_lapsed_upstream_that_does_not_come_back_gets_no_work_from_then_on():
    known, clock, _ = listed("a", "b")
    known.store_returned()
    known.replace([record("b")], 5)
    clock.advance(LAPSE_KEPT + 0.001)
    assert names(known) == ["b"], "also before the timers look"
    known.expire()
    assert "a" not in known.by_id


def test_a_lapsed_upstream_that_says_it_is_leaving_is_gone_at_once():
    known, _, left = listed("a", "b")
    known.store_returned()
    known.replace([record("b")], 5)
    known.said_unwell(known.by_id["a"])
    assert names(known) == ["b"] and left == ["a"]
    known.said_unwell(known.by_id["b"])
    assert names(known) == ["b"], "one that is listed may be unwell by mistake"


def test_many_that_vanish_together_have_lapsed_and_one_alone_has_left():
    known, _, _ = listed(*"abcdefghij")
    known.update([], ["a"], 2)
    assert "a" not in known.by_id
    known.update([], ["b", "c", "d", "e"], 3)
    assert names(known) == list("bcdefghij")


def test_an_upstream_whose_address_went_to_another_gets_no_work():
    known, _, left = listed("a", "b")
    known.was_replaced(known.by_id["a"])
    known.update([record("a")], [], 2)
    assert names(known) == ["b"] and left == ["a"]
