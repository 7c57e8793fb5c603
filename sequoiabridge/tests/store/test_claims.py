"""Tests of at-most-once claims with faults of the store, races, pauses and operators."""

import random

import curio
import pytest

from ...exceptions import StoreUnavailable
from ...store.base import Write
from ...store.claim_admin import RELEASE_GRACE, ClaimAdmin, ClaimNotReleased
from ...store.claim_results import (
    ClaimBusy,
    ClaimGranted,
    ClaimMismatch,
    ClaimReplay,
    ClaimUnavailable,
    ClaimUnknown,
)
from ...store.claim_rows import REPORT_GRACE, STORED_BODY_LIMIT
from ...store.claims import Claims
from ..standins.memory import ALWAYS
from .store_fakes import FakePlatform

WINDOW = 2.0


def claims(platform, vm="vm1"):
    return Claims(platform.client(), platform.clock, vm)


def acquire(claims_of_vm, key="k", digest="d", caller="c"):
    deadline = claims_of_vm.clock.now() + WINDOW
    return curio.run(claims_of_vm.acquire, "s", caller, key, digest, deadline)


def admin(platform, **options):
    return ClaimAdmin(platform.client(), platform.clock, random.Random(1), **options)


def test_duplicate_on_another_vm_gets_the_stored_answer():
    platform = FakePlatform()
    claim = acquire(claims(platform))
    assert isinstance(acquire(claims(platform, "vm2")), ClaimBusy)
    assert curio.run(claims(platform).complete, claim, 201, [(b"x-po", b"7")], b"ok")
    replay = acquire(claims(platform, "vm2"))
    assert isinstance(replay, ClaimReplay)
    assert (replay.status, replay.headers, replay.body) == (201, [(b"x-po", b"7")], b"ok")
    assert isinstance(acquire(claims(platform), digest="other"), ClaimMismatch)
    assert isinstance(acquire(claims(platform), caller="c2"), ClaimGranted)


def test_large_answer_is_done_but_not_stored():
    platform = FakePlatform()
    store = claims(platform)
    curio.run(store.complete, acquire(store), 200, [], b"x" * (STORED_BODY_LIMIT + 1))
    replay = acquire(store)
    assert isinstance(replay, ClaimReplay) and replay.body is None


def test_row_of_a_newer_version_is_not_changed():
    platform = FakePlatform()
    claim = acquire(claims(platform))
    platform.tables.put(Write("claims", claim.row_key, b"\xc1 newer"))
    assert isinstance(acquire(claims(platform, "vm2")), ClaimUnavailable)
    assert curio.run(admin(platform).list_open, 9).ok.claims == []
    assert curio.run(admin(platform).remove_expired) == 0
    refused = curio.run(admin(platform).release_by_operator, claim.row_key, "anna", "checked", 5.0)
    assert "newer version" in str(refused.error)


def test_one_of_concurrent_claims_is_granted():
    platform = FakePlatform()
    deadline = platform.clock.now() + WINDOW

    async def race():
        async with curio.TaskGroup() as group:
            for vm in range(5):
                claims_of_vm = claims(platform, f"vm{vm}")
                await group.spawn(claims_of_vm.acquire, "s", "c", "k", "d", deadline)
        return group.results

    kinds = sorted(type(result).__name__ for result in curio.run(race))
    assert kinds == ["ClaimBusy"] * 4 + ["ClaimGranted"]


@pytest.mark.parametrize("fault", ["lose_answers", "lose_writes", "late"])
def test_lost_answer_is_resolved_by_the_token(fault):
    platform = FakePlatform()
    setattr(platform.faults, fault, 1)
    assert isinstance(acquire(claims(platform)), ClaimGranted)
    platform.tables.land_late()
    assert isinstance(acquire(claims(platform, "vm2")), ClaimBusy)


@pytest.mark.parametrize("fault", ["lose_answers", "lose_writes", "late"])
def test_row_of_another_vm_is_not_mistaken_for_own_claim(fault):
    platform = FakePlatform()
    assert isinstance(acquire(claims(platform, "vm2")), ClaimGranted)
    setattr(platform.faults, fault, 1)
    assert isinstance(acquire(claims(platform)), ClaimBusy)


@pytest.mark.parametrize("fault", ["down", "reject"])
def test_failed_write_leaves_no_row_and_no_report(fault):
    platform = FakePlatform()
    setattr(platform.faults, fault, 1)
    store = claims(platform)
    assert isinstance(acquire(store), ClaimUnavailable)
    assert not platform.tables.rows and not store.reports.pending


def test_unconfirmed_claim_is_unavailable_and_released_later():
    platform = FakePlatform()
    store = claims(platform)
    platform.faults.slow = 60.0
    assert isinstance(acquire(store), ClaimUnavailable)
    assert len(platform.tables.rows) == 1
    platform.faults.slow = 0.0
    platform.clock.advance(WINDOW)
    curio.run(store.store.probe)
    assert curio.run(store.retry_reports) == 0
    assert isinstance(acquire(claims(platform, "vm2")), ClaimGranted)


def test_claim_confirmed_after_its_deadline_is_not_granted():
    platform = FakePlatform()
    store = claims(platform)
    platform.faults.slow = 0.1

    async def pause(_seconds):
        platform.clock.advance(WINDOW + 1.0)

    platform.tables.sleep = pause
    assert isinstance(acquire(store), ClaimUnavailable)
    platform.faults.slow = 0.0
    assert curio.run(store.retry_reports) == 0
    assert isinstance(acquire(claims(platform, "vm2")), ClaimGranted)


@pytest.mark.parametrize("order", ["insert-then-retry", "retry-then-insert"])
def test_late_insert_of_an_abandoned_claim_neither_blocks_nor_duplicates(order):
    platform = FakePlatform()
    first, second = claims(platform), claims(platform, "vm2")
    platform.faults.late = ALWAYS
    assert isinstance(acquire(first), ClaimUnavailable)
    platform.faults.late = 0
    platform.clock.advance(WINDOW)
    steps = [platform.tables.land_late, lambda: curio.run(first.retry_reports)]
    for step in steps if order == "insert-then-retry" else steps[::-1]:
        step()
    granted = acquire(second)
    assert isinstance(granted, ClaimGranted)
    platform.tables.land_late()
    assert curio.run(second.complete, granted, 200, [], b"ok")
    assert isinstance(acquire(first), ClaimReplay)


def test_late_insert_fails_after_another_vm_claimed_and_released():
    platform = FakePlatform()
    first, second = claims(platform), claims(platform, "vm2")
    platform.faults.late = ALWAYS
    acquire(first)
    platform.faults.late = 0
    platform.clock.advance(WINDOW)
    assert curio.run(second.release, acquire(second))
    assert platform.tables.land_late() == 0
    assert curio.run(first.retry_reports) == 0
    assert isinstance(acquire(second), ClaimGranted)


def test_claim_of_a_cancelled_call_is_released():
    platform = FakePlatform()
    store = claims(platform)
    platform.faults.late = 1

    async def cancelled():
        deadline = platform.clock.now() + WINDOW
        task = await curio.spawn(store.acquire, "s", "c", "k", "d", deadline)
        while not platform.tables.waiting:
            await curio.sleep(0)
        await task.cancel()
        platform.tables.land_late()
        return await store.retry_reports()

    assert curio.run(cancelled) == 0
    assert isinstance(acquire(claims(platform, "vm2")), ClaimGranted)


def test_claim_of_a_paused_holder_is_not_taken_over():
    platform = FakePlatform()
    holder, other = claims(platform), claims(platform, "vm2")
    claim = acquire(holder)
    platform.clock.advance(WINDOW + REPORT_GRACE + 3600.0)
    assert isinstance(acquire(other), ClaimUnknown)
    assert curio.run(holder.complete, claim, 200, [], b"late")
    assert acquire(other).body == b"late"


@pytest.mark.parametrize("fault", ["down", "lose_answers", "lose_writes", "late"])
def test_unanswered_report_is_retried_until_proven(fault):
    platform = FakePlatform()
    store = claims(platform)
    claim = acquire(store)
    setattr(platform.faults, fault, 1)
    assert not curio.run(store.complete, claim, 200, [], b"ok")
    setattr(platform.faults, fault, 0)
    assert curio.run(store.retry_reports) == 0
    platform.tables.land_late()
    assert isinstance(acquire(claims(platform, "vm2")), ClaimReplay)


def test_operator_releases_claim_of_a_failed_vm_whose_late_report_has_no_effect():
    platform = FakePlatform()
    dead, other, operator = claims(platform), claims(platform, "vm2"), admin(platform)
    claim = acquire(dead)
    early = curio.run(operator.release_by_operator, claim.row_key, "anna", "checked", 5.0)
    assert "may still send" in str(early.error)
    platform.clock.advance(WINDOW + RELEASE_GRACE)
    listed = curio.run(operator.list_open, 10).ok
    assert [(c.row.vm, c.row.key) for c in listed.claims] == [("vm1", "k")]
    platform.faults.lose_reads = ALWAYS
    unread = curio.run(operator.release_by_operator, claim.row_key, "anna", "checked", 5.0)
    assert isinstance(unread.error, StoreUnavailable)
    platform.faults.lose_reads = 0
    missing = curio.run(operator.release_by_operator, "no-claim", "anna", "checked", 5.0)
    assert isinstance(missing.error, ClaimNotReleased) and "show claims" in str(missing.error)
    platform.faults.lose_answers = 1
    assert curio.run(operator.release_by_operator, claim.row_key, "anna", "checked", 5.0).is_ok()
    assert [entry.author for entry in curio.run(operator.list_releases, 10).ok] == ["anna"]
    assert isinstance(acquire(other), ClaimGranted)
    curio.run(dead.complete, claim, 200, [], b"old")
    assert dead.reports.superseded == 1
    assert isinstance(acquire(claims(platform, "vm3")), ClaimBusy)


def test_only_finished_claims_expire():
    platform = FakePlatform()
    store, operator = claims(platform), admin(platform, retention=60.0)
    curio.run(store.complete, acquire(store, "done"), 200, [], b"")
    curio.run(store.mark_unknown, acquire(store, "unknown"))
    acquire(store, "held")
    platform.clock.advance(WINDOW + 59.0)
    assert sum(curio.run(operator.remove_expired) for _ in range(2)) == 0
    platform.clock.advance(2.0)
    assert sum(curio.run(operator.remove_expired) for _ in range(2)) == 1
    assert len(platform.tables.find("claims", "", "", 9)) == 2
