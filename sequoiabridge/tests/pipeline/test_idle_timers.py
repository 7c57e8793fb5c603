"""Tests that periodic work runs only while there are calls, and which load is published."""

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
"""Minimum seconds until the next timer of an idle daemon."""


class FakeFleet:
    """Keeps the published items."""

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
    """A queue in which every call waits until it expires."""

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
    """Return a manual clock, which the scene's services use, and timers on it."""
    clock = ManualClock(100.0)
    scene.services.clock = clock
    return clock, Timers(clock)


def publish_all(sharing):
    """Publish the load of all services once."""
    for _ in range(LOAD_SLICES):
        sharing.publish_load()


def active_timers(timers):
    """Return the names of the frequent timers that are running."""
    return {entry["name"] for entry in timers.dump()} & {"probing", "sharing load"}


def test_timers_run_from_the_first_call_until_the_service_is_no_longer_busy():
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


def test_queued_call_of_an_idle_daemon_is_refused_in_time():
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


def test_suspicion_is_published_and_withdrawn_without_a_further_call():
    scene, fleet = DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER), FakeFleet()
    clock, _ = use_manual_clock(scene)
    sharing = Sharing("vm", scene.services, fleet, Metrics(), clock)
    state = scene.services.by_name["s"]
    slow_upstream = state.pool.upstreams["u1"]
    scene.services.record_call(state, clock.now())
    slow_upstream.record_start(clock.now())
    clock.advance(2.0)
    publish_all(sharing)
    assert [(item.upstream, item.suspect) for item in fleet.items] == [("u1", True)]
    slow_upstream.record_end(clock.now(), 2.0)
    clock.advance(3.0)
    publish_all(sharing)
    assert [(item.upstream, item.suspect) for item in fleet.items[1:]] == [("u1", False)]


def test_upstreams_of_idle_services_are_not_iterated():
    scene, fleet = DispatchScene(Behaviour.ANSWER), FakeFleet()
    clock, _ = use_manual_clock(scene)
    sharing = Sharing("vm", scene.services, fleet, Metrics(), clock)
    scene.services.by_name["s"].pool.upstreams = None  # Iterating over them raises.
    publish_all(sharing)
    assert not fleet.items


def test_slow_upstream_is_published_without_a_call_in_flight():
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


def test_suspicions_of_peers_are_not_published_as_local():
    scene, fleet = DispatchScene(*[Behaviour.ANSWER] * 4), FakeFleet()
    clock, _ = use_manual_clock(scene)
    sharing = Sharing("vm", scene.services, fleet, Metrics(), clock)
    state = scene.services.by_name["s"]
    scene.services.record_call(state, clock.now())
    for other in ("vm-2", "vm-3", "vm-4"):
        sharing.handle_load(LoadItem("u1", 0, 6000, True, 0), other)
    clock.advance(0.1)  # Suspicions of peers take effect together, with the next choice.
    state.pool.choose(clock.now())
    assert state.pool.upstreams["u1"].suspected
    publish_all(sharing)
    assert not any(item.suspect for item in fleet.items)
