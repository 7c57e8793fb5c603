"""What is done time and again is done only while calls give reason to: an idle daemon sleeps."""

import curio
import pytest

from ...exceptions import Refusal
from ...fleet.base import LoadItem, Urgency
from ...metrics import Metrics
from ...pipeline.admit import Admit
from ...pipeline.probing import BACKGROUND_PROBE_INTERVAL, Probing
from ...pipeline.services import BUSY_SECONDS
from ...pipeline.sharing import LOAD_SLICES, Sharing
from ...policy.admission import Decision, Verdict
from ...timers import ManualClock, Timers
from .fakes import Behaviour, DispatchScene

MIN_IDLE_INTERVAL = 1.0
"""Seconds that an idle daemon's fastest timer here leaves between two looks, at least."""


class FakeFleet:
    """Keeps what is published."""

    def __init__(self):
        self.items = []
        self.bucket = self

    def subscribe(self, kind, callback):
        return None

    def room(self, urgency):
        return 3000.0

    def publish(self, item, urgency):
        assert urgency is Urgency.LOAD
        self.items.append(item)


class StalledQueue:
    """A queue that lets every call wait until it is too late."""

    displaced = ()

    def __init__(self):
        self.tickets = []

    def offer(self, ticket, now):
        self.tickets.append(ticket)
        return Decision(Verdict.QUEUED)

    def expire(self, now):
        late, self.tickets = self.tickets, []
        return late

    def abandon(self, ticket, now):
        return []


def use_manual_clock(scene):
    """Return a manual clock and timers; the bench's services work by them."""
    clock = ManualClock(100.0)
    scene.services.clock = clock
    return clock, Timers(clock)


def publish_all(sharing):
    """Go through all services once."""
    for _ in range(LOAD_SLICES):
        sharing.publish_load()


def active_timers(timers):
    """Return the names of what is done often and that the timers will do."""
    return {entry["name"] for entry in timers.dump()} & {"probing", "sharing load"}


def test_looks_start_with_the_first_call_and_end_when_the_service_is_quiet():
    scene = DispatchScene(Behaviour.ANSWER)
    clock, timers = use_manual_clock(scene)
    Probing(scene.services, None, Metrics(), scene.observer, clock).subscribe(timers)
    Sharing("vm", scene.services, FakeFleet(), Metrics(), clock).subscribe(timers)
    assert not active_timers(timers)
    scene.services.record_call(scene.services.by_name["s"], clock.now())
    assert timers.next_due() <= BACKGROUND_PROBE_INTERVAL and active_timers(timers) == {
        "probing",
        "sharing load",
    }
    clock.advance(BUSY_SECONDS + 1)
    for _ in range(20):
        for coroutine in timers.run_due():
            curio.run(coroutine)
        clock.advance(BACKGROUND_PROBE_INTERVAL)
    assert not active_timers(timers)
    scene.services.record_call(scene.services.by_name["s"], clock.now())
    assert active_timers(timers) == {"probing", "sharing load"}


def test_a_queued_call_is_refused_in_time_though_nothing_looked_before_it_came():
    scene = DispatchScene(Behaviour.ANSWER)
    timers = Timers(scene.clock)
    admit = Admit(scene.services, scene.clock)
    admit.subscribe(timers)
    assert timers.next_due() > MIN_IDLE_INTERVAL
    scene.services.by_name["s"].queue = StalledQueue()

    async def call():
        await curio.spawn(timers.run, daemon=True)
        await curio.timeout_after(5.0, admit.enter, scene.exchange())

    with pytest.raises(Refusal):
        curio.run(call)
    assert not admit.queued_calls


def test_a_suspicion_is_told_and_taken_back_without_a_further_call():
    scene, fleet = DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER), FakeFleet()
    clock, _ = use_manual_clock(scene)
    sharing = Sharing("vm", scene.services, fleet, Metrics(), clock)
    state = scene.services.by_name["s"]
    straggler = state.pool.upstreams["u1"]
    scene.services.record_call(state, clock.now())
    straggler.record_start(clock.now())
    clock.advance(2.0)
    publish_all(sharing)
    assert [(item.upstream, item.suspect) for item in fleet.items] == [("u1", True)]
    straggler.record_end(clock.now(), 2.0)
    clock.advance(3.0)
    publish_all(sharing)
    assert [(item.upstream, item.suspect) for item in fleet.items[1:]] == [("u1", False)]


def test_upstreams_without_calls_are_not_gone_through():
    scene, fleet = DispatchScene(Behaviour.ANSWER), FakeFleet()
    clock, _ = use_manual_clock(scene)
    sharing = Sharing("vm", scene.services, fleet, Metrics(), clock)
    scene.services.by_name["s"].pool.upstreams = None  # Whoever goes through them fails.
    publish_all(sharing)
    assert not fleet.items


def test_an_upstream_slower_than_its_pool_is_told_without_a_call_in_flight():
    scene, fleet = DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER, Behaviour.ANSWER), FakeFleet()
    clock, _ = use_manual_clock(scene)
    sharing = Sharing("vm", scene.services, fleet, Metrics(), clock)
    state = scene.services.by_name["s"]
    scene.services.record_call(state, clock.now())
    for name, upstream in state.pool.upstreams.items():
        for _ in range(10):
            state.pool.record_send(upstream, clock.now())
            elapsed = 0.5 if name == "u1" else 0.005
            state.pool.record_answer(upstream, clock.now(), 200, elapsed)
    publish_all(sharing)
    assert [(item.upstream, item.suspect) for item in fleet.items] == [("u1", True)]


def test_what_other_vms_suspect_is_not_told_on_as_own_suspicion():
    scene, fleet = DispatchScene(*[Behaviour.ANSWER] * 4), FakeFleet()
    clock, _ = use_manual_clock(scene)
    sharing = Sharing("vm", scene.services, fleet, Metrics(), clock)
    state = scene.services.by_name["s"]
    scene.services.record_call(state, clock.now())
    for other in ("vm-2", "vm-3", "vm-4"):
        sharing.handle_load(LoadItem("u1", 0, 6000, True, 0), other)
    clock.advance(0.1)  # Words of other VMs take effect together, with the next choice.
    state.pool.choose(clock.now())
    assert state.pool.upstreams["u1"].suspected
    publish_all(sharing)
    assert not any(item.suspect for item in fleet.items)
