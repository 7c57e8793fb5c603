"""Tests of deliveries that crash upstreams, and of chunks that cannot be removed."""

from expression import Error

from ...store.base import StoreError, StoreErrorKind
from ...store.upload_delivery import DeliveryOutcome, DeliveryResult
from ...store.upload_manifest import UploadState, keyed_id
from ..standins.uploads import World, finish, incoming

DATA = b"ledger of the year 2026"
ID = keyed_id("lataus", "uni", "k")


def test_late_crash_report_counts_although_another_vm_holds_the_lease():
    world = World()
    vm = world.vm("a")
    finish(vm.receive(incoming(DATA, key="k")))
    late, second = world.deliveries(vm), world.deliveries(world.vm("b"))
    late.send, second.send = crash_of("u1"), crash_of("u2")
    paused = late.deliver(ID)
    while world.manifests()[0].attempts == 0:
        paused.send(None)
    world.clock.advance(100.0)
    finish(second.deliver(ID))
    assert world.manifests()[0].state is UploadState.ACCEPTED
    finish(paused)
    assert world.manifests()[0].state is UploadState.FAILED
    assert world.manifests()[0].crashed == ("u2", "u1")
    world.check({ID: DATA})


def crash_of(name):
    async def send(manifest, body):
        return DeliveryResult(DeliveryOutcome.CRASHED, f"{name} died", name)

    return send


def test_failed_removal_of_chunks_does_not_delay_delivery_and_is_retried():
    world = World()
    vm = world.vm("a")
    finish(vm.receive(incoming(DATA, key="k")))
    stored, timeouts = len(world.objects.objects), []
    delete = world.objects.delete

    async def reject_delete(name, timeout):
        timeouts.append(timeout)
        return Error(StoreError(StoreErrorKind.NOT_SENT, "no room in the share"))

    world.objects.delete = reject_delete
    finish(world.deliveries(vm).deliver(ID))
    assert world.manifests()[0].state is UploadState.DELIVERED
    assert len(timeouts) == 1 and timeouts[0] <= 5.0 and len(world.objects.objects) == stored
    world.objects.delete = delete
    finish(world.orphans(vm).step(world.clock.wall()))
    assert world.objects.objects == {}
