"""Membership under message loss, partitions, pauses, replacement and mass failure."""

import pytest

from ...fleet.base import MemberState, MemberView
from ...fleet.fleet import TICK_INTERVAL
from ...fleet.members import EventKind
from ...fleet.wire import Kind, Message
from .simulation import GONE, FleetSimulation, incarnation, live_names, state

DETECT = 15
"""Seconds within which every VM must detect the failure of another."""


def gone_everywhere(simulation, *names):
    return lambda: all(state(n, name) in GONE for n in simulation.all() for name in names)


def settled(count=8, **more):
    simulation = FleetSimulation(count, **more)
    assert simulation.run_until(simulation.complete, 20) is not None
    return simulation


def test_a_dead_vm_is_found_and_a_leaving_one_is_known_to_have_left():
    simulation = settled()
    nodes = simulation.all()
    simulation.kill(nodes[0])
    assert simulation.run_until(gone_everywhere(simulation, "vm1"), DETECT) is not None
    simulation.leave(nodes[1])
    assert simulation.run_until(gone_everywhere(simulation, "vm2"), 3) is not None
    simulation.run(30)
    assert {state(n, "vm2") for n in simulation.all()} == {MemberState.LEFT}
    assert {state(n, "vm1") for n in simulation.all()} == {MemberState.DEAD}


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_a_tenth_of_all_frames_kills_nobody(seed):
    simulation = settled(12, seed=seed)
    simulation.loss = 0.1
    deaths = []
    for node in simulation.all():
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
    simulation.run(60)
    assert deaths == []
    assert simulation.complete()


def test_a_third_gone_at_once_leaves_the_others_alive_to_each_other():
    simulation = settled(18)
    victims = simulation.all()[::3]
    for node in victims:
        simulation.kill(node)
    names = [n.own_member.name for n in victims]
    assert simulation.run_until(gone_everywhere(simulation, *names), 2 * DETECT) is not None
    simulation.run(20)
    assert simulation.complete()


def test_a_paused_vm_learns_that_it_was_dead_and_comes_back_with_a_new_incarnation():
    simulation = settled()
    node = simulation.all()[2]
    before, events = incarnation(node), []
    node.on_event(lambda e: events.append(e.kind))
    simulation.pause(node)
    others = [n for n in simulation.all() if n is not node]
    paused = simulation.run_until(lambda: all(state(n, "vm3") in GONE for n in others), DETECT)
    simulation.resume(node)
    assert simulation.run_until(simulation.complete, 10) is not None
    assert incarnation(node) > before
    assert EventKind.PAUSED in events
    assert simulation.run_until(lambda: EventKind.DECLARED_DEAD in events, 1) is not None
    assert node.membership.last_pause_seconds == pytest.approx(paused, abs=3 * TICK_INTERVAL)
    assert not {EventKind.SUSPECTED, EventKind.DIED} & set(events)


@pytest.mark.parametrize("name", ["vm3", "vm99"])
def test_a_vm_replaced_under_the_same_address_takes_the_place_of_the_old_one(name):
    simulation = settled()
    simulation.kill(simulation.all()[2])
    replaced = []
    for node in simulation.all():
        node.on_event(lambda e: replaced.append(e.name) if e.kind is EventKind.REPLACED else 0)
    simulation.run(0.5)
    new = simulation.add(3, name=name)
    assert simulation.run_until(simulation.complete, 10) is not None
    for node in simulation.all():
        assert node is new or state(node, name) is MemberState.ALIVE
        assert name == "vm3" or state(node, "vm3") in (*GONE, None)
    assert bool(replaced) is (name != "vm3")


def test_a_replacement_whose_clock_is_a_day_behind_is_taken_in():
    simulation = settled()
    old = simulation.all()[2]
    simulation.kill(old)
    new = simulation.add(3, offset=1_700_000_000.0 - 86_400)
    assert incarnation(new) < incarnation(old)
    assert simulation.run_until(simulation.complete, 20) is not None
    assert incarnation(new) > incarnation(old)


def test_a_partition_heals_and_everyone_is_alive_again():
    simulation = settled(9)
    nodes = simulation.all()
    simulation.cut(nodes[:4], nodes[4:])
    simulation.run(40)
    assert set(live_names(nodes[0])) == {"vm2", "vm3", "vm4"}
    assert set(live_names(nodes[8])) == {"vm5", "vm6", "vm7", "vm8"}
    simulation.cuts.clear()
    assert simulation.run_until(simulation.complete, 20) is not None


def test_a_one_way_cut_between_two_vms_kills_neither():
    simulation = settled()
    a, b, *_ = simulation.all()
    simulation.cut([a], [b], both=False)
    simulation.run(40)
    assert simulation.complete()


def test_a_deaf_vm_does_not_make_the_others_doubt_each_other():
    simulation = settled()
    deaf, *others = simulation.all()
    deaths, doubted = [], set()
    for node in others:
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
        node.on_event(lambda e: doubted.add(e.name) if e.kind is EventKind.SUSPECTED else None)
    simulation.cut(others, [deaf], both=False)
    simulation.run(40)
    assert set(deaths) == {"vm1"}
    assert (
        len(doubted - {"vm1"}) <= 1
    ), "only the ping in flight when the link failed may cause a suspicion"
    simulation.cuts.clear()
    assert simulation.run_until(simulation.complete, 20) is not None


def test_a_vm_that_is_cut_off_for_a_moment_doubts_itself_and_not_the_others():
    simulation = settled()
    node, *others = simulation.all()
    doubted = set()
    node.on_event(lambda e: doubted.add(e.name) if e.kind is EventKind.SUSPECTED else None)
    simulation.cut([node], others)
    simulation.run(7)
    assert len(doubted) <= 1, "only the ping in flight when the link failed may cause a suspicion"
    assert node.live_count() == 8


def test_a_connection_that_went_silent_is_replaced_before_anybody_is_declared_dead():
    simulation = settled()
    a, b, *_ = simulation.all()
    deaths = []
    for node in simulation.all():
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
    link = (a.own_member.address, b.own_member.address)
    simulation.silent |= {link, link[::-1]}
    assert simulation.run_until(lambda: not simulation.silent, 20) is not None
    simulation.run(10)
    assert deaths == []
    assert simulation.complete()


def test_a_wrong_vm_list_neither_kills_nor_keeps_anyone():
    simulation = settled(4)
    nodes = simulation.all()
    for node in nodes:
        node.set_listed_addresses(["10.0.0.1:7000", "10.0.0.77:7000"])
    simulation.run(20)
    assert simulation.complete()
    simulation.kill(nodes[0])
    for node in nodes[1:]:
        node.set_listed_addresses(["10.0.0.1:7000"])
    assert simulation.run_until(gone_everywhere(simulation, "vm1"), DETECT) is not None


def test_the_dead_count_as_missing_until_the_vm_list_omits_them_and_the_leaving_never():
    simulation = settled(6)
    nodes = simulation.all()
    expected = nodes[5].membership.roster.expected
    simulation.kill(nodes[0])
    simulation.leave(nodes[1])
    simulation.run(DETECT)
    assert len(expected) == 4
    nodes[5].set_listed_addresses(
        [node.own_member.address for node in nodes[2:4]] + ["10.0.0.8:7000"]
    )
    assert expected == {f"10.0.0.{i}:7000" for i in (3, 4, 5, 8)}


def test_a_vm_whose_seeds_are_all_gone_is_found_through_the_vm_list():
    simulation = settled(5, seeds=1)
    simulation.kill(simulation.all()[0])
    simulation.run(15)
    new = simulation.add(9)
    simulation.run(5)
    assert live_names(new) == []
    new.set_listed_addresses(["10.0.0.4:7000"])
    assert simulation.run_until(simulation.complete, 10) is not None


def test_what_left_stays_away_until_it_has_a_newer_incarnation():
    simulation = settled(4)
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


def test_views_are_plain_members_and_count_this_vm():
    simulation = settled(3)
    node = simulation.all()[0]
    assert node.live_count() == 3
    assert [type(m) for m in node.members()] == [MemberView] * 3
    assert node.members()[0].name == "vm1"
