"""Choice of upstreams: drains, ejection, overdue calls, trust, slow start and large pools."""

from collections import Counter
from random import Random

from ...policy.base import Failure, LoadReport
from ...policy.choosers import chooser_named
from ...policy.pool import PoolOptions, PoolState
from ...policy.upstream_state import UpstreamSpec


def make(count=6, cap=0.3, chooser="evidence"):
    pool = PoolState("spendview", PoolOptions(cap), chooser_named(chooser), Random(7))
    specs = [UpstreamSpec(f"u{i}", f"10.0.0.{i}:80", 2, 220, "a") for i in range(count)]
    pool.set_upstreams(specs, 0.0)
    return pool, specs


def run(pool, calls, behave, start=0.0, gap=0.005):
    """Send calls one after another; `behave(name)` returns status, latency and reported calls."""
    seen = Counter()
    now = start
    for _ in range(calls):
        now += gap
        upstream = pool.choose(now)
        seen[upstream.name] += 1
        status, elapsed, in_flight = behave(upstream.name)
        pool.record_send(upstream, now)
        pool.record_answer(upstream, now + elapsed, status, elapsed, LoadReport(in_flight, 2))
    return seen, now


def test_a_newer_incarnation_undoes_a_drain_but_not_one_by_the_operator():
    pool, specs = make(2)
    assert pool.drain("u0", 5, 1.0)
    assert not pool.drain("u0", 5, 1.1)
    assert not pool.resume("u0", 5, 1.2)
    assert {pool.choose(1.3 + i).name for i in range(20)} == {"u1"}
    assert pool.resume("u0", 6, 30.0)
    assert not pool.drain("u0", 5, 31.0)
    specs[1].drained = True
    pool.set_upstreams(specs, 32.0)
    pool.resume("u1", 5, 33.0)
    assert {pool.choose(40.0 + i).name for i in range(20)} == {"u0"}


def test_a_drain_received_before_the_upstream_is_configured_counts():
    pool, specs = make(2)
    pool.drain("u9", 3, 1.0)
    pool.set_upstreams([*specs, UpstreamSpec("u9", "10.0.0.9:80", 2, 220, "a")], 2.0)
    assert all(pool.choose(20.0 + i).name != "u9" for i in range(50))


def test_fast_failures_attract_no_work():
    pool, _ = make()
    seen, _ = run(pool, 600, lambda n: (500, 0.0003, 0) if n == "u0" else (200, 0.006, 1))
    assert seen["u0"] <= 12


def test_a_pool_that_fails_entirely_is_not_ejected_and_recovers():
    pool, _ = make()
    _, now = run(pool, 300, lambda n: (500, 0.0003, 0))
    assert sum(u.ejected_until > now for u in pool.upstreams.values()) <= 1
    _, now = run(pool, 800, lambda n: (200, 0.006, 0), now + 6.0)
    seen, _ = run(pool, 900, lambda n: (200, 0.006, 0), now)
    assert min(seen[f"u{i}"] for i in range(6)) > 100


def test_an_upstream_with_an_overdue_call_is_avoided_until_it_recovers():
    pool, _ = make()
    _, now = run(pool, 100, lambda n: (200, 0.006, 0))
    slow = pool.upstreams["u0"]
    pool.record_send(slow, now)
    later = now + 0.05
    assert all(pool.choose(later + i * 0.001).name != "u0" for i in range(50))
    pool.record_answer(slow, now + 0.1, 200, 0.1, LoadReport(0, 2))
    seen, _ = run(pool, 3000, lambda n: (200, 0.006, 0), now + 0.1)
    assert seen["u0"] > 100


def test_ejection_stops_at_the_cap():
    pool, _ = make(10, chooser="round-robin")
    bad = {f"u{i}" for i in range(6)}
    seen, now = run(pool, 2000, lambda n: (500, 0.001, 0) if n in bad else (200, 0.006, 1))
    out = [u.name for u in pool.upstreams.values() if u.ejected_until > now or u.on_trial]
    assert len(out) == 3 and bad.issuperset(out)
    assert seen["u9"] > seen[out[0]]


def test_each_consecutive_ejection_lasts_longer():
    pool, _ = make()
    _, now = run(pool, 100, lambda n: (200, 0.006, 0))
    upstream, lengths = pool.upstreams["u0"], []
    for _ in range(4):
        while upstream.ejected_until <= now:
            pool.record_send(upstream, now)
            pool.record_failure(upstream, now, Failure.RESET, 0.0)
        lengths.append(upstream.ejected_until - now)
        now = upstream.ejected_until
    assert lengths == sorted(lengths) and lengths[-1] > 4 * lengths[0]


def test_suspicions_of_the_whole_pool_exclude_no_upstream():
    pool, _ = make()
    for vm in ("vm1", "vm2", "vm3"):
        for i in range(6):
            pool.record_peer_load(f"u{i}", 0, 0.5, True, 0.0, vm, 1.0)
    assert len({pool.choose(1.0 + i / 1000).name for i in range(200)}) == 6


def test_load_reports_that_contradict_latency_lose_trust():
    pool, _ = make()
    run(pool, 400, lambda n: (200, 0.02, 0) if n == "u0" else (200, 0.006, 3))
    assert pool.upstreams["u0"].trust < 0.7 < pool.upstreams["u1"].trust


def test_a_cold_upstream_gets_a_growing_share():
    pool, specs = make()
    _, now = run(pool, 100, lambda n: (200, 0.006, 1))
    pool.set_upstreams([*specs, UpstreamSpec("new", "10.0.0.99:80", 2, 220, "a")], now)
    early, now = run(pool, 200, lambda n: (200, 0.006, 1), now)
    late, _ = run(pool, 600, lambda n: (200, 0.006, 1), now + 6.0)
    assert early["new"] / 200 < 0.08 < late["new"] / 600


def test_a_large_pool_is_sampled_and_tried_upstreams_are_avoided():
    pool, _ = make(300)
    seen = {pool.choose(0.1, {"u1", "u2"}).name for _ in range(3000)}
    assert len(seen) > 250 and not seen & {"u1", "u2"}
    small, _ = make(2)
    assert small.choose(0.1, {"u0"}).name == "u1"
    assert small.choose(0.1, {"u0", "u1"}) is not None


def test_the_lower_bound_does_not_change_the_choice():
    pool, _ = make(40)
    random = Random(3)
    _, now = run(pool, 400, lambda n: (random.choice((200, 200, 500)), random.random(), 3))
    for upstream in pool.usable:
        upstream.start_times = [now] * random.randrange(4)
        upstream.other_calls = random.random() * 4
        upstream.report_at = now - random.random()
    for _ in range(200):
        now += 0.003
        pool.random.seed(now)
        found = pool.choose(now)
        pool.random.seed(now)
        costs = [
            (pool.chooser.score(u, now) * (1 + 0.1 * pool.random.random()), u) for u in pool.usable
        ]
        assert found is min(costs, key=lambda cost: cost[0])[1]


def test_the_end_of_a_call_removes_the_nearest_start_time():
    pool, _ = make(1)
    upstream = pool.choose(1.0)
    for start in (1.0, 2.0, 3.0, 2.5):
        upstream.record_start(start)
    left = []
    for elapsed in (7.9, 7.3, 0.0, 99.0):  # From the start at 2.0, 2.5, after the last, before 1.0.
        upstream.record_end(10.0, elapsed)
        left.append(list(upstream.start_times))
    assert left == [[1.0, 2.5, 3.0], [1.0, 3.0], [1.0], []]
