"""Who may get work: drains, departures, entries that lapse while the platform is away."""

from ...balancing.upstream_stats import OpenCall
from ...relay.upstreams import LAPSE_GRACE, UpstreamList
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
    return sorted(u.id for u in known.for_service("s"))


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
    known.store_recovered()
    known.replace([record("b")], 5)
    assert names(known) == ["a", "b"]
    clock.advance(LAPSE_GRACE - 0.1)
    known.replace([record("a"), record("b")], 6)
    clock.advance(1.0)
    known.expire()
    assert names(known) == ["a", "b"]


def test_a_lapsed_upstream_that_does_not_come_back_gets_no_work_from_then_on():
    known, clock, _ = listed("a", "b")
    known.store_recovered()
    known.replace([record("b")], 5)
    clock.advance(LAPSE_GRACE + 0.001)
    assert names(known) == ["b"], "also before the timers look"
    known.expire()
    assert "a" not in known.by_id


def test_a_lapsed_upstream_that_says_it_is_leaving_is_gone_at_once():
    known, _, left = listed("a", "b")
    known.store_recovered()
    known.replace([record("b")], 5)
    known.record_unhealthy(known.by_id["a"])
    assert names(known) == ["b"] and left == ["a"]
    known.record_unhealthy(known.by_id["b"])
    assert names(known) == ["b"], "one that is listed may be unwell by mistake"


def test_many_that_vanish_together_have_lapsed_and_one_alone_has_left():
    known, _, _ = listed(*"abcdefghij")
    known.update([], ["a"], 2)
    assert "a" not in known.by_id
    known.update([], ["b", "c", "d", "e"], 3)
    assert names(known) == list("bcdefghij")


def test_an_upstream_whose_address_went_to_another_gets_no_work():
    known, _, left = listed("a", "b")
    known.record_replacement(known.by_id["a"])
    known.update([record("a")], [], 2)
    assert names(known) == ["b"] and left == ["a"]


def restarted(known, version=2, **more):
    """Let upstream "a" start again under its id; return its lifetimes before and after."""
    before = known.by_id["a"]
    known.update([record("a", born=2000, **more)], [], version)
    return before, known.by_id["a"]


def with_births():
    known, clock, left = listed()
    known.update([record("a", born=1000), record("b", born=1000)], [], 1)
    return known, clock, left


def test_nothing_that_was_seen_of_a_lifetime_holds_for_the_next_one():
    known, clock, left = with_births()
    first = known.by_id["a"]
    first.stats.record_failure(clock.now())
    first.stats.record_probe_failure(clock.now())
    first.stats.add_open_call(OpenCall(clock.now(), 0.1))
    known.record_replacement(first)
    assert names(known) == ["b"]
    before, after = restarted(known)
    assert before is first and before.has_restarted and not before.accepts_calls
    assert names(known) == ["a", "b"] and left == ["a", "a"]
    assert after.stats.failure_rate(clock.now()) < 0.05
    assert not after.stats.is_unresponsive(clock.now()) and after.stats.open_calls == []


def test_a_late_word_of_an_earlier_lifetime_is_no_news():
    known, _, _ = with_births()
    _, after = restarted(known, address="new:1")
    for late in (record("a", born=1000, draining=True), record("a", draining=True)):
        known.update([late], [], 3)
        assert known.by_id["a"] is after and names(known) == ["a", "b"]
    known.update([], ["a"], 4)
    known.update([record("a", born=1000)], [], 5)
    assert names(known) == ["b"], "also when the later lifetime has left meanwhile"
    known.update([record("a", born=3000)], [], 6)
    assert names(known) == ["a", "b"]


def test_a_restart_ends_a_drain_and_a_lapse():
    known, clock, _ = with_births()
    known.update([record("a", born=1000, draining=True)], [], 2)
    assert names(known) == ["b"]
    restarted(known, 3)
    assert names(known) == ["a", "b"]
    known.store_recovered()
    known.replace([record("b", born=1000)], 4)
    assert known.by_id["a"].forget_at is not None
    known.update([record("a", born=3000)], [], 5)
    clock.advance(LAPSE_GRACE + 1.0)
    known.expire()
    assert names(known) == ["a", "b"]


def test_an_earlier_lifetime_that_says_it_is_leaving_does_not_end_the_next_one():
    known, _, _ = with_births()
    known.store_recovered()
    known.replace([record("b", born=1000)], 2)
    before, _ = restarted(known, 3)
    known.record_unhealthy(before)
    assert names(known) == ["a", "b"]


def test_an_upstream_that_moved_leaves_its_old_connections():
    known, _, left = with_births()
    known.update([record("a", born=1000, address="elsewhere:1")], [], 2)
    assert left == ["a"] and known.by_id["a"].address == "elsewhere:1"


def test_an_entry_that_cannot_be_used_any_more_takes_its_upstream_out_at_once():
    known, _, left = with_births()
    known.store_recovered()
    known.update([], [], 2, ["a"])
    assert names(known) == ["b"] and left == ["a"]
    known.replace([], 3, ["b"])
    assert names(known) == [], "no lapse: its entry is there, and says nothing"
    known.update([record("b", born=1000)], [], 4)
    assert names(known) == ["b"]


def test_entries_of_unknown_services_do_not_make_the_others_seem_lapsed():
    known, _, _ = listed(*"abcdefghij")
    known.update([record(f"x{n}", service="nobody") for n in range(20)], [], 2)
    known.set_services(["s"])
    assert known.configured_count == 10
    known.update([], [f"x{n}" for n in range(20)] + ["a"], 3)
    assert names(known) == list("bcdefghij"), "one of ten has left"
