"""What is played in a cell: one script for each group of steps, then the same end for all.

A script does what callers and operators do in practice: work that was not answered well is sent
again at a VM that the balancer offers.
"""

from __future__ import annotations

import curio
import msgspec

from ...benchmarks.oracle import Kind, Promise, Told, Violation
from ...store.upload_index import MANIFEST_TABLE
from ...store.upload_manifest import Manifest, UploadState
from .faults import LEAVING_TRAFFIC
from .steps import Group, Step
from .virtual import adopt
from .vm import Vm
from .world import World

SENDINGS = 5
"""Times that a caller sends the same work at most."""
PAUSE_BETWEEN = 1.0
TRAFFIC_TIME = 3.0
"""Seconds of background reads."""
READY_TIMEOUT = 30.0
CRASHES_ALLOWED = 3
"""Two in the fleet, and one that was under way when the second was seen."""
LATE_ANSWERS = 3.0
"""Seconds after which upstreams have sent the answers that they held back."""
DELIVERY_TIMEOUT = 150.0
"""Seconds after the faults for accepted uploads; a lease that a dead VM left must lapse first."""
STOP_TIMEOUT = 120.0
SPREAD_TIME, CUT_OFF_TIME = 6.0, 10.0
"""Seconds after a change; the second is longer than a VM that is cut off may go on."""
STOP_WAIT = 20.0
"""Seconds for a planned stop to end while faults go on; with some it cannot."""
SLOW_WORK = 0.3
CUT_AFTER = 50_000
"""Bytes of the second upload that come before its caller is gone."""


async def play(world: World, group: Group, kind: Kind) -> list[Violation]:
    """Play the script of a group and its end; return what the script itself found broken."""
    traffic = await world.spawn(world.traffic, TRAFFIC_TIME)
    await SCRIPTS[group](world, kind)
    await traffic.join()
    if world.leaving:
        await world.traffic(LEAVING_TRAFFIC)
    found = await recover(world)
    found += await deliver(world)
    if world.crashes > CRASHES_ALLOWED:
        found.append(Violation(Promise.CRASHES, f"one request crashed {world.crashes} upstreams"))
    if group is Group.STOP or any(fault.name == "planned stop" for fault in world.struck):
        found += await stopped(world)
    return found


async def call(world: World, kind: Kind) -> None:
    """One caller's work at vm-1, sent again elsewhere until it is answered well."""
    nonce = world.nonce()
    told = await world.caller.send(world.vms["vm-1"], world.call(kind, nonce, own=True))
    await insist(world, kind, nonce, told)


async def insist(world: World, kind: Kind, nonce: str, told: Told | None) -> None:
    """Send work again until it is answered well, or the answer says that this is of no use."""
    for number in range(2, SENDINGS + 1):
        if told is not None and (told.good or told.status == 422):
            return
        await curio.sleep(PAUSE_BETWEEN)
        ready = world.ready_vms()
        if ready:
            told = await world.send(kind, world.random.choice(ready), nonce, number, own=True)


async def configuration(world: World, kind: Kind) -> None:
    """An operator changes something at vm-1, and a new VM joins at that time."""
    await world.change(world.vms["vm-1"], "left")
    await world.steps.reached(Step.JOIN, vm="vm-1")
    await world.add_vm(3)
    await curio.sleep(CUT_OFF_TIME if world.cut_off else SPREAD_TIME)


async def upload(world: World, kind: Kind) -> None:
    """Two uploads: one straight through, one that is cut in the middle and sent again elsewhere."""
    first = world.nonce()
    told = await world.caller.send(world.vms["vm-1"], world.call(Kind.UPLOAD, first, own=True))
    await insist(world, Kind.UPLOAD, first, told)
    second = world.nonce()
    world.caller.cut_after = CUT_AFTER
    told = await world.caller.send(world.vms["vm-1"], world.call(Kind.UPLOAD, second, own=True))
    world.caller.cut_after = 0
    await world.steps.reached(Step.RESUME, vm="vm-2")
    await insist(world, Kind.UPLOAD, second, told)


async def stop(world: World, kind: Kind) -> None:
    """vm-1 is stopped as planned with a read, an approval and an upload in flight."""
    vm = world.vms["vm-1"]
    await world.add_vm(3)
    await curio.sleep(1.0)
    for upstream in world.upstreams.values():
        upstream.work = SLOW_WORK
    async with curio.TaskGroup() as group:
        await group.spawn(at_vm, world, Kind.READ, vm)
        await group.spawn(at_vm, world, Kind.APPROVAL, vm)
        await group.spawn(slow_upload, world, vm)
        await curio.sleep(0.05)
        await vm.stop()
    # A fault of the last steps has its turn only if the stop gets there before the faults end.
    await until(world, STOP_WAIT, lambda: not vm.up or vm.owner.frozen)


async def at_vm(world: World, kind: Kind, vm: Vm) -> None:
    nonce = world.nonce()
    await insist(world, kind, nonce, await world.send(kind, vm, nonce, own=True))


async def slow_upload(world: World, vm: Vm) -> None:
    nonce = world.nonce()
    world.caller.slow = True
    told = await world.caller.send(vm, world.call(Kind.UPLOAD, nonce, own=True))
    world.caller.slow = False
    await insist(world, Kind.UPLOAD, nonce, told)


SCRIPTS = {
    Group.CALL: call,
    Group.CONFIGURATION: configuration,
    Group.UPLOAD: upload,
    Group.STOP: stop,
}


async def recover(world: World) -> list[Violation]:
    """End the faults; every VM that is up must be ready and answer new work well."""
    world.steps.open = False
    await world.heal()
    await finish_tasks(world)
    await curio.sleep(LATE_ANSWERS)
    living = [vm for vm in world.vms.values() if vm.up and not vm.daemon.readiness.stopping]
    # Where all are gone, the operators start one; it must take up what was accepted.
    living = living or [await world.add_vm(len(world.vms) + 1)]
    found = []
    for vm in living:
        if not await until(world, READY_TIMEOUT, lambda vm=vm: vm.ready):
            why = vm.daemon.readiness.check()[1]
            found.append(Violation(Promise.RECOVERY, f"{vm.name} is not ready: {why}"))
            continue
        for kind in (Kind.READ, Kind.READ, Kind.APPROVAL):
            nonce = world.nonce()
            told = await world.send(kind, vm, nonce)
            for number in range(2, SENDINGS + 1):
                if told.good or told.outcome != "not-run":
                    break
                await curio.sleep(PAUSE_BETWEEN)
                told = await world.send(kind, vm, nonce, number)
            world.after_faults.append(told)
    if not found:
        found += await change_again(world, living[0])
    return found


async def change_again(world: World, vm: Vm) -> list[Violation]:
    """An operator's change must be accepted again, and be in force everywhere in time."""
    before = len(world.accepted)
    for _ in range(3):
        await world.change(vm, "after")
        if len(world.accepted) > before:
            await curio.sleep(5.0)
            return []
        await curio.sleep(2.0)
    return [Violation(Promise.RECOVERY, f"no change is accepted at {vm.name}")]


async def deliver(world: World) -> list[Violation]:
    """Give accepted uploads the time to reach an upstream; the oracle looks whether they did.

    An upload that is held because upstreams died of it is released, once they are mended.
    """
    wanted = {told.digest for told in world.told if told.kind is Kind.UPLOAD and told.good}

    def done() -> bool:
        runs = [run for upstream in world.upstreams.values() for run in upstream.record.runs]
        return not wanted - {run.digest for run in runs if run.status == 200}

    end = world.clock.now() + DELIVERY_TIMEOUT
    while world.clock.now() < end and not done():
        await release_held(world)
        await curio.sleep(0.1)
    return []


async def release_held(world: World) -> None:
    """Do as an operator does who sees that uploads are held because upstreams died."""
    living = [vm for vm in world.vms.values() if vm.up and vm.ready]
    rows = [row.value for (table, _), row in world.tables.rows.items() if table == MANIFEST_TABLE]
    for manifest in [msgspec.msgpack.decode(row, type=Manifest) for row in rows]:
        if living and manifest.state is UploadState.FAILED and manifest.crashed:
            world.crashing = ""
            task = await adopt(living[0].owner, living[0].daemon.uploads.release, manifest.id)
            await task.join()


async def stopped(world: World) -> list[Violation]:
    """A planned stop must come to its end."""

    def done() -> bool:
        stopping = [vm for vm in world.vms.values() if vm.up and vm.daemon.readiness.stopping]
        return not stopping

    if await until(world, STOP_TIMEOUT, done):
        return []
    return [Violation(Promise.STOP, "the stop does not come to its end")]


async def until(world: World, seconds: float, condition) -> bool:
    """Wait for a condition; return whether it came true."""
    end = world.clock.now() + seconds
    while world.clock.now() < end:
        if condition():
            return True
        await curio.sleep(0.1)
    return condition()


async def finish_tasks(world: World) -> None:
    """Wait for what faults and scripts have started, apart from what goes on for ever."""
    for task in world.tasks[2:]:
        await task.wait()
