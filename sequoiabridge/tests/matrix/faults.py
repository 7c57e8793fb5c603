"""The rows of the matrix: what may go wrong, and how it is made to happen in the test's world."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from ...store.base import ListedVm
from .steps import Group, Moment, Step, Subject

if TYPE_CHECKING:
    from .world import World

LEAVING_TRAFFIC = 5.0
"""Seconds of reads when an upstream is leaving; longer than its limit."""

BOTH = (Moment.BEFORE, Moment.AFTER)

Strike = Callable[["World", Subject], Awaitable[None]]

UPSTREAM_ATTEMPT = frozenset({Step.SEND_HEAD, Step.SEND_BODY, Step.WAIT, Step.RELAY, Step.DELIVER})
"""Steps at which an upstream has at least a part of the request."""

STORE_STEPS = frozenset({Step.CLAIM, Step.RECORD, Step.PROPOSED, Step.CHUNK, Step.COMMIT})
"""Steps that write to the store for somebody who waits."""

NO_CALLER = frozenset(
    {Step.DELIVER, Step.CLEAN_UP, Step.LEAVE, Step.PROPOSED, Step.COMMITTED}
    | {Step.SPREAD, Step.APPLIED, Step.JOIN}
)
"""Steps at which no caller waits for its own request."""


class Fault:
    """One row.

    Args:
        name: What goes wrong, in the usual terms.
        strike: Makes it happen.
        absent: Returns why it cannot occur at a step, or "".
        moments: At which moments of a step that writes to the store it is tried.
        breaks: It may cut off an answer that was on its way.
    """

    __slots__ = ("name", "strike", "absent", "moments", "breaks")

    def __init__(
        self,
        name: str,
        strike: Strike,
        absent: Callable[[Step], str] = lambda step: "",
        moments: tuple[Moment, ...] = (Moment.BEFORE,),
        breaks: bool = False,
    ):
        self.name = name
        self.strike = strike
        self.absent = absent
        self.moments = moments
        self.breaks = breaks


def upstream_fault(name: str, everywhere: bool = False, breaks: bool = False, **fields) -> Fault:
    """Return a fault that switches on what a stand-in upstream offers, at one or at all of them."""

    async def strike(world: World, subject: Subject) -> None:
        chosen = [world.upstream(subject)]
        for upstream in world.upstreams.values() if everywhere else chosen:
            for field, value in fields.items():
                setattr(upstream.faults, field, value)
            upstream.started = world.clock.now()

    return Fault(name, strike, breaks=breaks)


async def drain(world: World, subject: Subject) -> None:
    # An upstream that has died cannot start to drain; what is started in its place does not.
    chosen = [world.upstream(subject), *world.upstreams.values()]
    living = [upstream for upstream in chosen if upstream.up]
    if not living:
        return
    world.leave(living[0], incarnation=7)
    # VMs hear of it by their calls: without any, the first call would be the one that tells.
    await world.after(0.0, world.traffic, LEAVING_TRAFFIC)


async def silence(world: World, subject: Subject) -> None:
    for upstream in world.upstreams.values():
        for wire in upstream.wires:
            wire.silent = True
        upstream.wires.clear()


async def crash(world: World, subject: Subject) -> None:
    world.crashing = world.caller.work.nonce
    await world.crash(world.upstream(subject))


async def two_die(world: World, subject: Subject) -> None:
    first = world.upstream(subject)
    second = next(upstream for upstream in world.upstreams.values() if upstream is not first)
    await first.end()
    await world.after(0.3, second.end)


def needs_upstream(step: Step) -> str:
    if step in UPSTREAM_ATTEMPT:
        return ""
    return "no upstream has any of the request"


def store_fault(name: str, absent=lambda step: "", **fields) -> Fault:
    """Return a fault of the table service and the object store."""

    async def strike(world: World, subject: Subject) -> None:
        for field, value in fields.items():
            setattr(world.store_faults, field, value)

    return Fault(name, strike, absent, BOTH)


def one_write(name: str, **fields) -> Fault:
    """Return a fault of one write, which must be the write of the step itself."""

    def absent(step: Step) -> str:
        return "" if step in STORE_STEPS else "nothing is written at this step"

    fault = store_fault(name, absent, **fields)
    fault.moments = (Moment.BEFORE,)
    return fault


async def lapse(world: World, subject: Subject) -> None:
    await world.pause(world.vm(subject), world.LAPSE)


async def pause(world: World, subject: Subject) -> None:
    await world.pause(world.vm(subject), world.PAUSE)


async def kill(world: World, subject: Subject) -> None:
    await world.vm(subject).kill()


async def replace(world: World, subject: Subject) -> None:
    vm = world.vm(subject)
    await vm.kill()
    await world.after(1.0, vm.start)


async def stop(world: World, subject: Subject) -> None:
    vm = world.vm(subject)
    await world.after(0.0, vm.stop)


async def two_operators(world: World, subject: Subject) -> None:
    first, second = list(world.vms.values())[:2]
    await world.after(0.0, world.change, first, "left")
    await world.after(0.0, world.change, second, "right")


async def list_lags(world: World, subject: Subject) -> None:
    world.vm_list.set([])


async def list_wrong(world: World, subject: Subject) -> None:
    vm = world.vm(subject)
    wrong = [ListedVm("vm-9", "127.0.0.1:9", "dc-1"), ListedVm(vm.name, vm.fleet, "dc-1", True)]
    world.vm_list.set(wrong)


async def partition(world: World, subject: Subject) -> None:
    world.network.partition(world.vm(subject).fleet)


async def partition_inward(world: World, subject: Subject) -> None:
    world.network.partition(world.vm(subject).fleet, outward=False)


async def isolate_other(world: World, subject: Subject) -> None:
    world.isolate(next(vm for vm in world.vms.values() if vm is not world.vm(subject)))


async def caller_gone(world: World, subject: Subject) -> None:
    await world.caller.vanish()


async def caller_resends(world: World, subject: Subject) -> None:
    await world.after(0.0, world.resend)


async def caller_slow(world: World, subject: Subject) -> None:
    world.caller.slow = True


def no_caller(step: Step) -> str:
    return "no caller waits at this step" if step in NO_CALLER else ""


def stop_under_way(step: Step) -> str:
    return "a planned stop has begun already" if step.group is Group.STOP else ""


ENDLESS_ANSWERS = ("answer hangs half-way", "answer never ends")
"""Names of the faults by which an answer has no end of its own."""

FAULTS = (
    upstream_fault("upstream straggles", slow=40.0),
    Fault("upstream starts draining", drain),
    upstream_fault("upstream fails fast", fail=1.0),
    upstream_fault("upstream starts cold", cold_s=20.0),
    upstream_fault("upstream sheds", shed=1.0),
    upstream_fault("all upstreams shed", everywhere=True, shed=1.0),
    upstream_fault("upstream lies about load", lie_in_flight=0, slow=10.0),
    upstream_fault("upstream reports late", report_lag_ms=3000, report_lag_hidden=True, slow=10.0),
    Fault("request crashes each upstream", crash, needs_upstream, breaks=True),
    Fault("two upstreams die of something else", two_die, breaks=True),
    upstream_fault("answers come late", everywhere=True, late_ms=2500.0),
    upstream_fault("answer cut short", breaks=True, cut=1.0),
    upstream_fault("answer hangs half-way", breaks=True, hang=1.0),
    upstream_fault("answer never ends", breaks=True, endless=1.0),
    upstream_fault("answer lost", lost=1.0),
    upstream_fault("all upstreams lose answers", everywhere=True, lost=1.0),
    Fault("open connections go silent", silence, breaks=True),
    store_fault("store down", down=True),
    store_fault("store slow for long", slow=2.0),
    one_write("write took effect, answer lost", lose_answers=1),
    one_write("write lost", lose_writes=1),
    one_write("write takes effect late", late=1),
    Fault("lease lapses, holder paused", lapse, moments=BOTH, breaks=True),
    Fault("two operators at once", two_operators),
    Fault("VM killed", kill, moments=BOTH, breaks=True),
    Fault("VM paused and resumed", pause, moments=BOTH),
    Fault("VM replaced", replace, moments=BOTH, breaks=True),
    Fault("planned stop", stop, stop_under_way),
    Fault("VM list lags", list_lags),
    Fault("VM list wrong", list_wrong),
    Fault("peers partitioned", partition),
    Fault("one-way partition", partition_inward),
    Fault("another VM cut off from all", isolate_other),
    Fault("caller gone", caller_gone, no_caller, breaks=True),
    Fault("caller resends", caller_resends, no_caller),
    Fault("slow caller", caller_slow, no_caller),
)
"""All rows, in the order of the table."""
