"""Membership under message loss, partitions, pauses, replacement and mass failure."""

import pytest

from ...fleet.base import MemberState, MemberView
from ...fleet.fleet import TICK_INTERVAL
from ...fleet.members import EventKind
from ...fleet.wire import Kind, Message
from .simulation import GONE_STATES, FleetSimulation, incarnation, live_names, state

DETECTION_SECONDS = 15
"""Seconds within which every VM must detect the failure of another."""


def gone_everywhere(simulation, *names):
    return lambda: all(state(n, name) in GONE_STATES for n in simulation.all() for name in names)


def converged(count=8, **more):
    simulation = FleetSimulation(count, **more)
    assert simulation.run_until(simulation.complete, 20) is not None
    return simulation


def test_failure_and_leave_are_detected():
    simulation = converged()
    nodes = simulation.all()
    simulation.kill(nodes[0])
    assert simulation.run_until(gone_everywhere(simulation, "vm1"), DETECTION_SECONDS) is not None
    simulation.leave(nodes[1])
    assert simulation.run_until(gone_everywhere(simulation, "vm2"), 3) is not None
    simulation.run(30)
    assert {state(n, "vm2") for n in simulation.all()} == {MemberState.LEFT}
    assert {state(n, "vm1") for n in simulation.all()} == {MemberState.DEAD}


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_a_tenth_of_all_frames_causes_no_false_death(seed):
    simulation = converged(12, seed=seed)
    simulation.loss = 0.1
    deaths = []
    for node in simulation.all():
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
    simulation.run(60)
    assert deaths == []
    assert simulation.complete()


def test_simultaneous_failure_of_a_third_is_detected_without_false_deaths():
    simulation = converged(18)
    victims = simulation.all()[::3]
    for node in victims:
        simulation.kill(node)
    names = [n.own_member.name for n in victims]
    assert (
        simulation.run_until(gone_everywhere(simulation, *names), 2 * DETECTION_SECONDS) is not None
    )
    simulation.run(20)
    assert simulation.complete()


def test_a_paused_vm_that_was_declared_dead_rejoins_with_a_new_incarnation():
    simulation = converged()
    node = simulation.all()[2]
    before, events = incarnation(node), []
    node.on_event(lambda e: events.append(e.kind))
    simulation.pause(node)
    others = [n for n in simulation.all() if n is not node]
    paused = simulation.run_until(
        lambda: all(state(n, "vm3") in GONE_STATES for n in others), DETECTION_SECONDS
    )
    simulation.resume(node)
    assert simulation.run_until(simulation.complete, 10) is not None
    assert incarnation(node) > before
    assert EventKind.PAUSED in events
    assert simulation.run_until(lambda: EventKind.DECLARED_DEAD in events, 1) is not None
    assert node.membership.last_pause_seconds == pytest.approx(paused, abs=3 * TICK_INTERVAL)
    assert not {EventKind.SUSPECTED, EventKind.DIED} & set(events)


@pytest.mark.parametrize("name", ["vm3", "vm99"])
def test_a_vm_at_a_reused_address_replaces_the_old_one(name):
    simulation = converged()
    simulation.kill(simulation.all()[2])
    replaced = []
    for node in simulation.all():
        node.on_event(lambda e: replaced.append(e.name) if e.kind is EventKind.REPLACED else 0)
    simulation.run(0.5)
    new = simulation.add(3, name=name)
    assert simulation.run_until(simulation.complete, 10) is not None
    for node in simulation.all():
        assert node is new or state(node, name) is MemberState.ALIVE
        assert name == "vm3" or state(node, "vm3") in (*GONE_STATES, None)
    assert bool(replaced) is (name != "vm3")


def test_a_replacement_whose_clock_is_a_day_behind_joins():
    simulation = converged()
    old = simulation.all()[2]
    simulation.kill(old)
    new = simulation.add(3, offset=1_700_000_000.0 - 86_400)
    assert incarnation(new) < incarnation(old)
    assert simulation.run_until(simulation.complete, 20) is not None
    assert incarnation(new) > incarnation(old)


def test_all_members_are_alive_after_a_partition_heals():
    simulation = converged(9)
    nodes = simulation.all()
    simulation.cut(nodes[:4], nodes[4:])
    simulation.run(40)
    assert set(live_names(nodes[0])) == {"vm2", "vm3", "vm4"}
    assert set(live_names(nodes[8])) == {"vm5", "vm6", "vm7", "vm8"}
    simulation.cuts.clear()
    assert simulation.run_until(simulation.complete, 20) is not None


def test_a_one_way_link_failure_between_two_vms_causes_no_death():
    simulation = converged()
    a, b, *_ = simulation.all()
    simulation.cut([a], [b], both=False)
    simulation.run(40)
    assert simulation.complete()


def test_a_vm_that_receives_nothing_does_not_make_the_others_suspect_each_other():
    simulation = converged()
    isolated, *others = simulation.all()
    deaths, suspected = [], set()
    for node in others:
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
        node.on_event(lambda e: suspected.add(e.name) if e.kind is EventKind.SUSPECTED else None)
    simulation.cut(others, [isolated], both=False)
    simulation.run(40)
    assert set(deaths) == {"vm1"}
    assert (
        len(suspected - {"vm1"}) <= 1
    ), "only the ping in flight when the link failed may cause a suspicion"
    simulation.cuts.clear()
    assert simulation.run_until(simulation.complete, 20) is not None


def test_a_vm_that_is_briefly_isolated_suspects_no_other_vm():
    simulation = converged()
    node, *others = simulation.all()
    suspected = set()
    node.on_event(lambda e: suspected.add(e.name) if e.kind is EventKind.SUSPECTED else None)
    simulation.cut([node], others)
    simulation.run(7)
    assert len(suspected) <= 1, "only the ping in flight when the link failed may cause a suspicion"
    assert node.live_count() == 8


def test_a_failed_connection_is_replaced_before_a_vm_is_declared_dead():
    simulation = converged()
    a, b, *_ = simulation.all()
    deaths = []
    for node in simulation.all():
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
    link = (a.own_member.address, b.own_member.address)
    simulation.failed_connections |= {link, link[::-1]}
    assert simulation.run_until(lambda: not simulation.failed_connections, 20) is not None
    simulation.run(10)
    assert deaths == []
    assert simulation.complete()


def test_a_wrong_vm_list_does_not_change_member_states():
    simulation = converged(4)
    nodes = simulation.all()
    for node in nodes:
        node.set_listed_addresses(["10.0.0.1:7000", "10.0.0.77:7000"])
    simulation.run(20)
    assert simulation.complete()
    simulation.kill(nodes[0])
    for node in nodes[1:]:
        node.set_listed_addresses(["10.0.0.1:7000"])
    assert simulation.run_until(gone_everywhere(simulation, "vm1"), DETECTION_SECONDS) is not None


def test_dead_members_are_expected_until_the_vm_list_omits_them_and_left_ones_are_not():
    simulation = converged(6)
    nodes = simulation.all()
    expected = nodes[5].membership.roster.expected
    simulation.kill(nodes[0])
    simulation.leave(nodes[1])
    simulation.run(DETECTION_SECONDS)
    assert len(expected) == 4
    nodes[5].set_listed_addresses(
        [node.own_member.address for node in nodes[2:4]] + ["10.0.0.8:7000"]
    )
    assert expected == {f"10.0.0.{i}:7000" for i in (3, 4, 5, 8)}


def test_a_vm_without_live_seeds_joins_through_the_vm_list():
    simulation = converged(5, seeds=1)
    simulation.kill(simulation.all()[0])
    simulation.run(15)
    new = simulation.add(9)
    simulation.run(5)
    assert live_names(new) == []
    new.set_listed_addresses(["10.0.0.4:7000"])
    assert simulation.run_until(simulation.complete, 10) is not None


def test_a_left_member_returns_only_with_a_newer_incarnation():
    simulation = converged(4)
    node, other, *_ = simulation.all()
    simulation.leave(node)
    simulation.run(5)
    late = Message(
        int(Kind.PING), "vm1", node.own_member.address, "dc", incarnation(node), 10**6, 0
    )
    late.to_incarnation = incarnation(other)
    other.receive(node.codec.encode(late, other.own_member.address))
    assert state(other, "vm1") is MemberState.LEFT
    simulation.add(1)
    assert simulation.run_until(simulation.complete, 10) is not None


def test_members_and_live_count_include_this_vm():
    simulation = converged(3)
    node = simulation.all()[0]
    assert node.live_count() == 3
    assert [type(m) for m in node.members()] == [MemberView] * 3
    assert node.members()[0].name == "vm1"
