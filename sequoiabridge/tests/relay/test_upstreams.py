"""Which upstreams may get calls: drains, removals, and entries that lapse during an outage."""

from ...balancing.upstream_stats import OpenCall
from ...relay.upstreams import LAPSE_GRACE, UpstreamList
from ...timers import ManualClock
from .fakes import decision_log, record


def build_list(*ids):
    clock = ManualClock(100.0)
    log, lines = decision_log(clock)
    retired = []
    upstreams = UpstreamList("here", clock, log, lambda u: retired.append(u.id))
    upstreams.update([record(id) for id in ids], [], 1)
    return upstreams, clock, retired


def names(upstreams):
    return sorted(u.id for u in upstreams.for_service("s"))


def test_draining_and_missing_upstreams_get_no_more_calls():
    upstreams, _, retired = build_list("a", "b", "c")
    upstreams.update([record("a", draining=True)], ["b"], 2)
    assert names(upstreams) == ["c"] and retired == ["a", "b"]


def test_an_older_version_of_the_list_is_ignored():
    upstreams, _, _ = build_list("a")
    upstreams.update([], ["a"], 0)
    assert names(upstreams) == ["a"]


def test_entries_missing_after_an_outage_of_the_store_are_kept_for_the_grace_time():
    upstreams, clock, _ = build_list("a", "b")
    upstreams.store_recovered()
    upstreams.replace([record("b")], 5)
    assert names(upstreams) == ["a", "b"]
    clock.advance(LAPSE_GRACE - 0.1)
    upstreams.replace([record("a"), record("b")], 6)
    clock.advance(1.0)
    upstreams.expire()
    assert names(upstreams) == ["a", "b"]


def test_a_lapsed_upstream_gets_no_calls_after_the_grace_time():
    upstreams, clock, _ = build_list("a", "b")
    upstreams.store_recovered()
    upstreams.replace([record("b")], 5)
    clock.advance(LAPSE_GRACE + 0.001)
    assert names(upstreams) == ["b"], "also before the timer calls expire"
    upstreams.expire()
    assert "a" not in upstreams.by_id


def test_a_lapsed_upstream_that_reports_itself_unhealthy_is_removed():
    upstreams, _, retired = build_list("a", "b")
    upstreams.store_recovered()
    upstreams.replace([record("b")], 5)
    upstreams.record_unhealthy(upstreams.by_id["a"])
    assert names(upstreams) == ["b"] and retired == ["a"]
    upstreams.record_unhealthy(upstreams.by_id["b"])
    assert names(upstreams) == ["b"], "the health of a listed one may be misreported"


def test_many_entries_missing_at_once_have_lapsed_and_a_single_one_has_left():
    upstreams, _, _ = build_list(*"abcdefghij")
    upstreams.update([], ["a"], 2)
    assert "a" not in upstreams.by_id
    upstreams.update([], ["b", "c", "d", "e"], 3)
    assert names(upstreams) == list("bcdefghij")


def test_an_upstream_whose_address_went_to_another_gets_no_calls():
    upstreams, _, retired = build_list("a", "b")
    upstreams.record_replacement(upstreams.by_id["a"])
    upstreams.update([record("a")], [], 2)
    assert names(upstreams) == ["b"] and retired == ["a"]


def restart(upstreams, version=2, **more):
    """Let upstream "a" start again under its id; return its lifetimes before and after."""
    before = upstreams.by_id["a"]
    upstreams.update([record("a", born=2000, **more)], [], version)
    return before, upstreams.by_id["a"]


def build_list_with_births():
    upstreams, clock, retired = build_list()
    upstreams.update([record("a", born=1000), record("b", born=1000)], [], 1)
    return upstreams, clock, retired


def test_a_new_lifetime_starts_with_fresh_stats():
    upstreams, clock, retired = build_list_with_births()
    first = upstreams.by_id["a"]
    first.stats.record_failure(clock.now())
    first.stats.record_probe_failure(clock.now())
    first.stats.add_open_call(OpenCall(clock.now(), 0.1))
    upstreams.record_replacement(first)
    assert names(upstreams) == ["b"]
    before, after = restart(upstreams)
    assert before is first and before.has_restarted and not before.accepts_calls
    assert names(upstreams) == ["a", "b"] and retired == ["a", "a"]
    assert after.stats.failure_rate(clock.now()) < 0.05
    assert not after.stats.is_unresponsive(clock.now()) and after.stats.open_calls == []


def test_late_entries_of_an_earlier_lifetime_are_ignored():
    upstreams, _, _ = build_list_with_births()
    _, after = restart(upstreams, address="new:1")
    for late in (record("a", born=1000, draining=True), record("a", draining=True)):
        upstreams.update([late], [], 3)
        assert upstreams.by_id["a"] is after and names(upstreams) == ["a", "b"]
    upstreams.update([], ["a"], 4)
    upstreams.update([record("a", born=1000)], [], 5)
    assert names(upstreams) == ["b"], "also after the later lifetime was removed"
    upstreams.update([record("a", born=3000)], [], 6)
    assert names(upstreams) == ["a", "b"]


def test_a_restart_ends_a_drain_and_a_lapse():
    upstreams, clock, _ = build_list_with_births()
    upstreams.update([record("a", born=1000, draining=True)], [], 2)
    assert names(upstreams) == ["b"]
    restart(upstreams, 3)
    assert names(upstreams) == ["a", "b"]
    upstreams.store_recovered()
    upstreams.replace([record("b", born=1000)], 4)
    assert upstreams.by_id["a"].forget_at is not None
    upstreams.update([record("a", born=3000)], [], 5)
    clock.advance(LAPSE_GRACE + 1.0)
    upstreams.expire()
    assert names(upstreams) == ["a", "b"]


def test_an_unhealthy_report_of_an_earlier_lifetime_does_not_remove_the_next_one():
    upstreams, _, _ = build_list_with_births()
    upstreams.store_recovered()
    upstreams.replace([record("b", born=1000)], 2)
    before, _ = restart(upstreams, 3)
    upstreams.record_unhealthy(before)
    assert names(upstreams) == ["a", "b"]


def test_the_old_address_of_an_upstream_that_moved_is_retired():
    upstreams, _, retired = build_list_with_births()
    upstreams.update([record("a", born=1000, address="elsewhere:1")], [], 2)
    assert retired == ["a"] and upstreams.by_id["a"].address == "elsewhere:1"


def test_an_upstream_whose_entry_becomes_unusable_is_removed():
    upstreams, _, retired = build_list_with_births()
    upstreams.store_recovered()
    upstreams.update([], [], 2, ["a"])
    assert names(upstreams) == ["b"] and retired == ["a"]
    upstreams.replace([], 3, ["b"])
    assert names(upstreams) == [], "no lapse: the entry exists but is unusable"
    upstreams.update([record("b", born=1000)], [], 4)
    assert names(upstreams) == ["b"]


def test_entries_of_unconfigured_services_do_not_count_towards_a_mass_lapse():
    upstreams, _, _ = build_list(*"abcdefghij")
    upstreams.update([record(f"x{n}", service="nobody") for n in range(20)], [], 2)
    upstreams.set_services(["s"])
    assert upstreams.configured_count == 10
    upstreams.update([], [f"x{n}" for n in range(20)] + ["a"], 3)
    assert names(upstreams) == list("bcdefghij"), "one of ten has left"


def come_back(upstreams, born=1000):
    """Let the entry of upstream a go and come back; return the upstream."""
    upstreams.update([], ["a"], upstreams.version + 1)
    assert "a" not in upstreams.by_id
    upstreams.update([record("a", born=born)], [], upstreams.version + 1)
    return upstreams.by_id["a"]


def test_a_rest_lasts_although_the_entry_is_gone_for_some_time():
    upstreams, clock, _ = build_list_with_births()
    upstreams.by_id["a"].stats.rest.ask(5.0, clock.now())
    assert come_back(upstreams).stats.rest.is_active(clock.now())
    assert come_back(upstreams).stats.rest.is_active(clock.now())
    assert not come_back(upstreams, born=3000).stats.rest.is_active(clock.now())


def test_an_upstream_that_leaves_gets_no_calls_although_its_entry_comes_back():
    upstreams, clock, _ = build_list_with_births()
    upstreams.by_id["a"].departure.since = clock.now()
    assert not come_back(upstreams).accepts_calls
    assert come_back(upstreams, born=3000).accepts_calls


def test_a_limit_holds_although_the_entry_is_gone_for_some_time():
    upstreams, clock, _ = build_list_with_births()
    upstreams.by_id["a"].stats.request_limit.observe(2.0, clock.now())
    assert come_back(upstreams).stats.request_limit.rate == 2.0
    assert come_back(upstreams, born=3000).stats.request_limit.rate is None
