"""Uploads with faults at each step, checked against the contents of the store and the upstream."""

import curio
import pytest

from ...exceptions import CallerGone, StoreUnavailable
from ...store.upload_delivery import DeliveryOutcome, DeliveryResult
from ...store.upload_manifest import (
    UploadConflict,
    UploadKeyReused,
    UploadState,
    UploadUnknown,
    keyed_id,
)
from ...store.upload_table import AcceptanceUnknown
from ..standins.uploads import CHUNK, World, finish, incoming, killed_after

DATA = b"ledger of the year 2026"
ID = keyed_id("lataus", "uni", "k")
CONTENTS = {ID: DATA}
FAULTS = ["lose_writes", "lose_answers", "late"]


def receive(vm, data=DATA, cut=None, **options):
    return vm.receive(incoming(data, cut, key="k", **options))


def test_vm_killed_at_each_step_of_receiving_loses_no_data():
    steps = 0
    while True:
        world = World()
        if not killed_after(receive(world.vm("a")), steps):
            break
        world.check(CONTENTS)
        result = finish(receive(world.vm("b")))
        assert result.state in (UploadState.ACCEPTED, UploadState.DELIVERING)
        world.recover()
        assert world.upstream.kept == CONTENTS
        steps += 1
    assert steps > 20


def test_vm_killed_at_each_step_of_delivering_loses_no_data():
    steps = 0
    while True:
        world = World()
        vm = world.vm("a")
        finish(receive(vm))
        if not killed_after(world.deliveries(vm).deliver(ID), steps):
            break
        world.check(CONTENTS)
        world.recover()
        assert world.upstream.kept == CONTENTS
        assert world.manifests()[0].state is UploadState.DELIVERED
        steps += 1
    assert steps > 20


@pytest.mark.parametrize("fault", FAULTS)
def test_one_store_fault_at_each_write_is_recovered(fault):
    writes = 0
    while True:
        world = World()
        vm = world.vm("a")
        tasks = [receive(vm), world.deliveries(vm).deliver(ID)]
        fault_used = run_with_fault(world, tasks, fault, writes)
        world.tables.land_late()
        world.objects.land_late()
        world.check(CONTENTS)
        if not fault_used:
            break
        assert world.upstream.kept == CONTENTS
        writes += 1
    assert writes > 10


def run_with_fault(world, tasks, fault, writes) -> bool:
    """Run the tasks in order with a fault at the given write; return whether it took effect."""
    seen = 0
    for task in tasks:
        while True:
            # At most one write is made between two pauses, so the logs count the writes.
            done = len(world.tables.log) + len(world.objects.tables.log)
            if done >= writes and not seen:
                setattr(world.tables.faults, fault, 1)
                setattr(world.objects.faults, fault, 1)
                seen = 1
            if seen == 1 and is_used_up(world, fault):
                setattr(world.tables.faults, fault, 0)
                setattr(world.objects.faults, fault, 0)
                seen = 2
            try:
                task.send(None)
            except StopIteration:
                break
    return seen == 2


def is_used_up(world, fault):
    return not getattr(world.tables.faults, fault) or not getattr(world.objects.faults, fault)


def test_accepting_commit_without_answer_raises_acceptance_unknown():
    world = World()
    task = receive(world.vm("a", retry_timeout=1.0, chunks_per_commit=99))
    while len(world.objects.objects) < 6:
        task.send(None)
    world.tables.faults.late = 99
    with pytest.raises(AcceptanceUnknown):
        finish(task)
    world.tables.faults.late = 0
    assert world.tables.land_late() == 1
    world.recover()
    assert world.upstream.kept == CONTENTS


def test_unavailable_store_refuses_the_upload_at_once():
    world = World()
    world.tables.faults.down = True
    vm = world.vm("a", retry_timeout=0.0)
    with pytest.raises(StoreUnavailable) as caught:
        finish(receive(vm))
    assert not isinstance(caught.value, AcceptanceUnknown)
    assert world.tables.rows == {} and vm.idle


@pytest.mark.parametrize("chunks_per_commit", [2, 99])
def test_paused_writer_conflicts_at_each_step_of_its_successor(chunks_per_commit):
    steps, conflicts, last = 0, 0, False
    while not last:
        world = World()
        paused = receive(world.vm("a", chunks_per_commit=chunks_per_commit), length=None)
        while len(world.objects.objects) < (3 if chunks_per_commit == 2 else 6):
            paused.send(None)
        new = receive(world.vm("b"), length=None)
        last = not run_steps(new, steps)
        if len(world.manifests()[0].chunks) > 0 and world.manifests()[0].epoch == 2:
            with pytest.raises(UploadConflict):
                finish(paused)
            conflicts += 1
            finish(world.orphans(world.vm("c")).step(world.clock.wall()))
            stale = [name for name in world.objects.objects if "/00000000000000000001/" in name]
            assert len(stale) == (2 if chunks_per_commit == 2 else 0)
        if not last:
            finish(new)
        world.check(CONTENTS)
        world.recover()
        assert world.upstream.kept == CONTENTS
        steps += 1
    assert conflicts > 5


def run_steps(task, steps):
    """Run a task for `steps` pauses; return False if it ended before."""
    try:
        for _ in range(steps):
            task.send(None)
    except StopIteration:
        return False
    return True


def test_lost_answer_to_the_accepting_commit_is_resolved_after_the_delivery():
    world = World()
    task = receive(world.vm("a", chunks_per_commit=99))
    while len(world.objects.objects) < 6:
        task.send(None)
    world.tables.faults.lose_answers = 1
    while world.manifests()[0].state is UploadState.OPEN:
        task.send(None)
    world.recover()
    assert finish(task).state is UploadState.DELIVERED


def test_a_resume_that_ends_short_of_the_announced_length_is_not_accepted():
    world = World()
    with pytest.raises(CallerGone):
        finish(receive(world.vm("a"), cut=13))
    short = incoming(DATA[13:20], upload_id=ID, offset=13, length=None)
    with pytest.raises(UploadConflict):
        finish(world.vm("b").receive(short))
    assert world.manifests()[0].state is UploadState.OPEN


def test_an_answer_before_the_whole_body_confirms_only_with_the_digest():
    world = World()
    vm = world.vm("a")
    finish(receive(vm))
    early = DeliveryOutcome.CONFIRMED

    async def send(manifest, body):
        await body.read()
        return DeliveryResult(early)

    world.upstream.send = send
    finish(world.deliveries(vm).deliver(ID))
    assert world.manifests()[0].state is UploadState.ACCEPTED
    early = DeliveryOutcome.ALREADY_STORED
    world.clock.advance(100.0)
    finish(world.deliveries(vm).deliver(ID))
    assert world.manifests()[0].state is UploadState.DELIVERED


def test_a_caller_resumes_at_another_vm_from_the_committed_offset():
    world = World()
    with pytest.raises(CallerGone):
        finish(receive(world.vm("a"), cut=13))
    other = world.vm("b")
    offset = finish(other.receive(incoming(b"", upload_id=ID))).offset
    assert offset == 13
    resume = incoming(DATA[offset:], upload_id=ID, offset=offset)
    assert finish(other.receive(resume)).state is UploadState.ACCEPTED
    # After a lost answer, the same resume again is answered as accepted.
    again = finish(other.receive(incoming(DATA[offset:], upload_id=ID, offset=offset)))
    assert again.replayed
    world.recover()
    assert world.upstream.kept == CONTENTS


def test_delivery_that_outlives_its_lease_does_no_harm():
    world = World()
    vm = world.vm("a")
    finish(receive(vm))
    late = world.deliveries(vm).deliver(ID)
    for _ in range(12):
        late.send(None)
    world.clock.advance(100.0)
    finish(world.deliveries(world.vm("b")).deliver(ID))
    assert world.manifests()[0].state is UploadState.DELIVERED
    finish(late)
    world.check(CONTENTS)
    assert world.manifests()[0].state is UploadState.DELIVERED


@pytest.mark.parametrize("resumed", [False, True])
def test_a_slow_delivery_keeps_its_lease(resumed):
    world = World()
    vm = world.vm("a")
    if resumed:
        with pytest.raises(CallerGone):
            finish(receive(vm, cut=13))
        finish(vm.receive(incoming(DATA[13:], upload_id=ID, offset=13)))
        assert world.manifests()[0].digest == ""
    else:
        finish(receive(vm))
    task = world.deliveries(vm).deliver(ID)
    while not world.upstream.kept:
        task.send(None)
        world.clock.advance(2.0)
        manifest = world.manifests()[0]
        assert manifest.attempts == 0 or manifest.due > world.clock.wall()
    assert world.manifests()[0].sent > 0


def test_corrupted_chunk_is_never_sent():
    world = World()
    vm = world.vm("a")
    finish(receive(vm))
    name = sorted(world.objects.objects)[1]
    finish(vm.chunks.discard(name))
    finish(world.objects.put(name, b"XXXX", 1.0))
    finish(world.deliveries(vm).deliver(ID))
    entry = finish(vm.list_undelivered(10))[0]
    assert world.upstream.kept == {} and entry.state is UploadState.ACCEPTED
    assert "damaged" in entry.error


def test_a_key_and_an_id_belong_to_one_caller():
    world = World()
    vm = world.vm("a")
    finish(receive(vm))
    other = incoming(b"other", key="k")
    other.caller = "other"
    assert finish(vm.receive(other)).id != ID
    other.upload_id, other.offset = ID, len(DATA)
    with pytest.raises(UploadUnknown):
        finish(vm.receive(other))


def test_refused_connection_and_lost_answer_are_retried_without_duplicates():
    world = World()
    vm = world.vm("a")
    finish(receive(vm))
    world.upstream.down = True
    finish(world.deliveries(vm).deliver(ID))
    entry = finish(vm.list_undelivered(10))[0]
    assert entry.state is UploadState.ACCEPTED and entry.error == "connection refused"
    assert entry.due > world.clock.wall()
    world.upstream.down, world.upstream.lose_answers = False, 1
    world.clock.advance(100.0)
    finish(world.deliveries(vm).deliver(ID))
    assert finish(vm.list_undelivered(10))[0].attempts == 2
    world.recover()
    assert world.upstream.kept == CONTENTS and finish(vm.list_undelivered(10)) == []


def test_rejected_upload_is_held_with_its_content_until_released():
    world = World()
    vm = world.vm("a")
    finish(receive(vm))
    world.upstream.refuses = True
    finish(world.deliveries(vm).deliver(ID))
    world.clock.advance(1e7)
    finish(world.orphans(vm).step(world.clock.wall()))
    assert finish(vm.list_undelivered(10))[0].state is UploadState.FAILED
    finish(vm.release(ID))
    world.recover()
    assert world.upstream.kept == CONTENTS


@pytest.mark.parametrize("other", [DATA[:-1] + b"7", DATA + b"7", DATA[:-1], b""])
@pytest.mark.parametrize("length", [True, False])
def test_the_same_key_with_other_content_is_refused(other, length):
    world = World()
    finish(receive(world.vm("a")))
    with pytest.raises(UploadKeyReused):
        finish(receive(world.vm("b"), data=other, length=len(other) if length else None))
    assert finish(receive(world.vm("b"))).replayed
    with pytest.raises(CallerGone):
        finish(receive(world.vm("b"), cut=13))


@pytest.mark.parametrize("before", [0, 2, 3, 5, 7, 9, 99])
@pytest.mark.parametrize("abandon_after", [0.0, 100.0])
def test_clean_up_at_any_step_removes_nothing_of_an_active_writer(before, abandon_after):
    steps, last = 0, False
    while not last:
        world = World()
        task = receive(world.vm("a"))
        clean_up = world.orphans(world.vm("c"), abandon_after=abandon_after).step(
            world.clock.wall()
        )
        last = not run_steps(task, steps)
        cleaned = not run_steps(clean_up, before)
        try:
            if not last:
                finish(task)
        except UploadConflict:
            assert abandon_after == 0.0
            finish(receive(world.vm("b")))
        if not cleaned:
            finish(clean_up)
        world.check(CONTENTS)
        world.recover()
        assert world.upstream.kept == CONTENTS
        steps += 1


def test_abandoned_upload_is_removed_and_its_late_writer_conflicts():
    world = World()
    vm = world.vm("a")
    late = receive(vm)
    while len(world.objects.objects) < 3:
        late.send(None)
    orphans = world.orphans(world.vm("c"))
    for _ in range(3):
        world.clock.advance(10 * 86400.0)
        finish(orphans.step(world.clock.wall()))
    assert world.manifests() == [] and world.tables.rows == {}
    with pytest.raises(UploadConflict):
        finish(late)
    finish(orphans.step(world.clock.wall()))
    assert world.objects.objects == {} and world.upstream.kept == {}


def test_chunks_stored_before_the_caller_disconnects_are_kept():
    world = World()
    vm = world.vm("a", chunks_per_commit=99)

    async def disconnect():
        task = await curio.spawn(receive(vm))
        while len(world.objects.objects) < 3:
            await curio.sleep(0)
        await task.cancel()

    curio.run(disconnect)
    assert finish(vm.receive(incoming(b"", upload_id=ID))).offset >= 2 * CHUNK
    assert vm.idle


def test_error_in_one_delivery_does_not_stop_the_others():
    world = World()
    vm = world.vm("a")
    other = finish(vm.receive(incoming(b"other", key="o"))).id
    finish(receive(vm))
    deliveries = world.deliveries(vm)
    send = world.upstream.send

    async def raise_for_other(manifest, body):
        if manifest.id == other:
            raise ZeroDivisionError
        return await send(manifest, body)

    deliveries.send = raise_for_other
    curio.run(deliveries.step, world.clock.wall())
    assert world.upstream.kept == CONTENTS and deliveries.idle
    deliveries.send = send
    world.clock.advance(100.0)
    curio.run(deliveries.step, world.clock.wall())
    assert world.upstream.kept == CONTENTS | {other: b"other"}
