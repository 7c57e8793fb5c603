"""Tests of grouping, rate limits, outages and lost answers in the store's client."""

import curio
import pytest

from ...store.base import Condition, StoreErrorKind, Write
from ...store.breaker import FAILURES_TO_OPEN, MIN_PROBE_DELAY
from ...store.rates import Priority, RateShare
from ..standins.memory import ALWAYS
from .store_fakes import FakePlatform, system_clock_platform


def insert(key, value=b"v"):
    return [Condition("t", key, 0)], [Write("t", key, value)]


async def run_concurrently(client, transactions, **options):
    async with curio.TaskGroup() as group:
        for conditions, writes in transactions:
            await group.spawn(client.transact, conditions, writes, 5.0)
    return group.results


def test_failed_transaction_of_a_group_does_not_affect_the_others():
    platform = system_clock_platform()
    client = platform.client(writes=50.0)
    curio.run(client.transact, *insert("k7", b"first"), 5.0)
    results = curio.run(run_concurrently, client, [insert(f"k{n}") for n in range(20)])
    failed = [n for n, result in enumerate(results) if result.is_error()]
    assert failed == [7]
    assert results[7].error.kind is StoreErrorKind.CONDITION_FAILED
    assert platform.tables.rows[("t", "k7")].value == b"first"
    assert len(platform.tables.rows) == 20
    assert client.counts.splits >= 1 and client.counts.writes < 20


def test_reads_and_objects_are_counted_like_transactions():
    platform = system_clock_platform()
    client = platform.client()
    curio.run(client.read, "t", "k", 5.0)
    curio.run(client.objects.put, "o", b"v", 5.0)
    curio.run(client.objects.get, "o", 5.0)
    assert (client.counts.reads, client.counts.writes) == (2, 1)


def test_deletes_of_objects_leave_tokens_for_writes():
    platform = FakePlatform()
    client = platform.client(writes=100.0)
    platform.clock.advance(10.0)

    def count_allowed(call):
        """Return how many calls succeed until the tokens are used up, while the clock stands."""
        count = 0
        while call().is_ok():
            count += 1
        return count

    deletes = count_allowed(lambda: curio.run(client.objects.delete, "o", 0.001))
    puts = count_allowed(
        lambda: curio.run(client.objects.put, f"p{client.counts.writes}", b"", 0.001)
    )
    assert deletes > 10 and puts > 10


def test_transactions_on_the_same_row_are_not_grouped():
    platform = system_clock_platform()
    client = platform.client(writes=50.0)
    results = curio.run(run_concurrently, client, [insert("same")] * 6)
    assert sum(result.is_ok() for result in results) == 1
    assert platform.tables.rows[("t", "same")].version == 1


def test_calls_fail_fast_during_an_outage_until_a_probe_succeeds():
    platform = FakePlatform()
    client = platform.client()
    platform.faults.lose_writes = platform.faults.lose_reads = ALWAYS
    kinds = [curio.run(client.transact, *insert("a"), 1.0).error.kind for _ in range(5)]
    unknown, refused = [StoreErrorKind.UNKNOWN], [StoreErrorKind.NOT_SENT]
    assert kinds == unknown * FAILURES_TO_OPEN + refused * (5 - FAILURES_TO_OPEN)
    assert len(platform.tables.log) == FAILURES_TO_OPEN
    platform.faults.lose_writes = platform.faults.lose_reads = 0
    platform.clock.advance(MIN_PROBE_DELAY)
    curio.run(client.probe)
    assert curio.run(client.transact, *insert("a"), 1.0).is_ok()


def test_short_timeouts_do_not_open_the_breaker():
    platform = FakePlatform()
    client = platform.client()
    platform.faults.lose_reads = 10
    for _ in range(10):
        curio.run(client.read, "t", "a", 0.01)
    assert not client.is_down


@pytest.mark.parametrize("fault", ["lose_answers", "lose_writes", "late"])
def test_lost_answer_is_resolved_and_written_once(fault):
    platform = FakePlatform()
    client = platform.client()
    setattr(platform.faults, fault, 1)
    conditions, writes = insert("a", b"token")
    deadline = platform.clock.now() + 5.0
    result = curio.run(client.transact_verified, conditions, writes, writes[0], deadline)
    platform.tables.land_late()
    assert result.is_ok()
    assert platform.tables.rows[("t", "a")].version == 1


def test_tombstone_under_the_same_condition_rules_out_the_late_write():
    platform = FakePlatform()
    client = platform.client()
    platform.faults.late = ALWAYS
    conditions, writes = insert("a", b"token")
    deadline = platform.clock.now() + 5.0
    unanswered = curio.run(client.transact_verified, conditions, writes, writes[0], deadline)
    assert unanswered.error.kind is StoreErrorKind.UNKNOWN
    platform.faults.late = 0
    assert curio.run(client.transact, conditions, [Write("t", "a", b"tombstone")], 1.0).is_ok()
    assert platform.tables.land_late() == 0


def test_share_reserves_tokens_for_claims_and_shrinks_after_rejections():
    share = RateShare(fleet_rate=100.0, now=0.0)
    while share.take(10.0, 10, Priority.BACKGROUND) == 0:
        pass
    assert share.take(10.0, 10, Priority.BACKGROUND) > 0
    claims = 0
    while share.take(10.0, 10, Priority.CLAIM) == 0:
        claims += 1
    assert claims >= 2
    before = share.take(10.0, 10, Priority.CLAIM)
    share.record_rejection()
    assert share.take(10.0, 10, Priority.CLAIM) == pytest.approx(2 * before)
