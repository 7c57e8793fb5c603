"""Membership under loss, cuts, pauses, replacement and mass failure, in virtual time."""

import pytest

from ...fleet.base import MemberState, MemberView
from ...fleet.fleet import TICK
from ...fleet.members import EventKind
from ...fleet.wire import Kind, Message
from .pump import GONE, Pump, incarnation, live_names, state

DETECT = 15
"""Seconds within which every VM must know that another one died."""


def gone_everywhere(pump, *names):
    return lambda: all(state(n, name) in GONE for n in pump.all() for name in names)


def settled(count=8, **more):
    pump = Pump(count, **more)
    assert pump.run_until(pump.complete, 20) is not None
    return pump


def test_a_dead_vm_is_found_and_a_leaving_one_is_known_to_have_left():
    pump = settled()
    nodes = pump.all()
    pump.kill(nodes[0])
    assert pump.run_until(gone_everywhere(pump, "vm1"), DETECT) is not None
    pump.leave(nodes[1])
    assert pump.run_until(gone_everywhere(pump, "vm2"), 3) is not None
    pump.run(30)
    assert {state(n, "vm2") for n in pump.all()} == {MemberState.LEFT}
    assert {state(n, "vm1") for n in pump.all()} == {MemberState.DEAD}


@pytest.mark.parametrize("seed", range(3))
def test_loss_of_a_tenth_of_all_frames_kills_nobody(seed):
    pump = settled(12, seed=seed)
    pump.loss = 0.1
    deaths = []
    for node in pump.all():
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
    pump.run(60)
    assert deaths == []
    assert pump.complete()


def test_a_third_gone_at_once_leaves_the_others_alive_to_each_other():
    pump = settled(18)
    victims = pump.all()[::3]
    for node in victims:
        pump.kill(node)
    names = [n.me.name for n in victims]
    assert pump.run_until(gone_everywhere(pump, *names), 2 * DETECT) is not None
    pump.run(20)
    assert pump.complete()


def test_a_paused_vm_learns_that_it_was_dead_and_comes_back_with_a_new_incarnation():
    pump = settled()
    node = pump.all()[2]
    before, events = incarnation(node), []
    node.on_event(lambda e: events.append(e.kind))
    pump.pause(node)
    others = [n for n in pump.all() if n is not node]
    paused = pump.run_until(lambda: all(state(n, "vm3") in GONE for n in others), DETECT)
    pump.resume(node)
    assert pump.run_until(pump.complete, 10) is not None
    assert incarnation(node) > before
    assert EventKind.PAUSED in events
    assert pump.run_until(lambda: EventKind.DECLARED_DEAD in events, 1) is not None
    assert node.membership.paused_for == pytest.approx(paused, abs=3 * TICK)
    assert not {EventKind.SUSPECTED, EventKind.DIED} & set(events)


@pytest.mark.parametrize("name", ["vm3", "vm99"])
def test_a_vm_replaced_under_the_same_address_takes_the_place_of_the_old_one(name):
    pump = settled()
    pump.kill(pump.all()[2])
    replaced = []
    for node in pump.all():
        node.on_event(lambda e: replaced.append(e.name) if e.kind is EventKind.REPLACED else 0)
    pump.run(0.5)
    new = pump.add(3, name=name)
    assert pump.run_until(pump.complete, 10) is not None
    for node in pump.all():
        assert node is new or state(node, name) is MemberState.ALIVE
        assert name == "vm3" or state(node, "vm3") in (*GONE, None)
    assert bool(replaced) is (name != "vm3")


def test_a_replacement_whose_clock_is_a_day_behind_is_taken_in():
    pump = settled()
    old = pump.all()[2]
    pump.kill(old)
    new = pump.add(3, offset=1_700_000_000.0 - 86_400)
    assert incarnation(new) < incarnation(old)
    assert pump.run_until(pump.complete, 20) is not None
    assert incarnation(new) > incarnation(old)


def test_a_partition_heals_and_everyone_is_alive_again():
    pump = settled(9)
    nodes = pump.all()
    pump.cut(nodes[:4], nodes[4:])
    pump.run(40)
    assert set(live_names(nodes[0])) == {"vm2", "vm3", "vm4"}
    assert set(live_names(nodes[8])) == {"vm5", "vm6", "vm7", "vm8"}
    pump.cuts.clear()
    assert pump.run_until(pump.complete, 20) is not None


def test_a_one_way_cut_between_two_vms_kills_neither():
    pump = settled()
    a, b, *_ = pump.all()
    pump.cut([a], [b], both=False)
    pump.run(40)
    assert pump.complete()


def test_a_deaf_vm_does_not_make_the_others_doubt_each_other():
    pump = settled()
    deaf, *others = pump.all()
    deaths, doubted = [], set()
    for node in others:
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
        node.on_event(lambda e: doubted.add(e.name) if e.kind is EventKind.SUSPECTED else None)
    pump.cut(others, [deaf], both=False)
    pump.run(40)
    assert set(deaths) == {"vm1"}
    assert len(doubted - {"vm1"}) <= 1, "a ping under way when the cut came may cost one doubt"
    pump.cuts.clear()
    assert pump.run_until(pump.complete, 20) is not None


def test_a_vm_that_is_cut_off_for_a_moment_doubts_itself_and_not_the_others():
    pump = settled()
    node, *others = pump.all()
    doubted = set()
    node.on_event(lambda e: doubted.add(e.name) if e.kind is EventKind.SUSPECTED else None)
    pump.cut([node], others)
    pump.run(7)
    assert len(doubted) <= 1, "a ping under way when the cut came may cost one doubt"
    assert node.live_count() == 8


def test_a_connection_that_went_silent_is_replaced_before_anybody_is_declared_dead():
    pump = settled()
    a, b, *_ = pump.all()
    deaths = []
    for node in pump.all():
        node.on_event(lambda e: deaths.append(e.name) if e.kind is EventKind.DIED else None)
    link = (a.me.address, b.me.address)
    pump.silent |= {link, link[::-1]}
    assert pump.run_until(lambda: not pump.silent, 20) is not None
    pump.run(10)
    assert deaths == []
    assert pump.complete()


def test_a_wrong_vm_list_neither_kills_nor_keeps_anyone():
    pump = settled(4)
    nodes = pump.all()
    for node in nodes:
        node.hint(["10.0.0.1:7000", "10.0.0.77:7000"])
    pump.run(20)
    assert pump.complete()
    pump.kill(nodes[0])
    for node in nodes[1:]:
        node.hint(["10.0.0.1:7000"])
    assert pump.run_until(gone_everywhere(pump, "vm1"), DETECT) is not None


def test_the_dead_count_as_missing_until_the_vm_list_omits_them_and_the_leaving_never():
    pump = settled(6)
    nodes = pump.all()
    expected = nodes[5].membership.roster.expected
    pump.kill(nodes[0])
    pump.leave(nodes[1])
    pump.run(DETECT)
    assert len(expected) == 4
    nodes[5].hint([node.me.address for node in nodes[2:4]] + ["10.0.0.8:7000"])
    assert expected == {f"10.0.0.{i}:7000" for i in (3, 4, 5, 8)}


def test_a_vm_whose_seeds_are_all_gone_is_found_through_the_vm_list():
    pump = settled(5, seeds=1)
    pump.kill(pump.all()[0])
    pump.run(15)
    new = pump.add(9)
    pump.run(5)
    assert live_names(new) == []
    new.hint(["10.0.0.4:7000"])
    assert pump.run_until(pump.complete, 10) is not None


def test_what_left_stays_away_until_it_has_a_newer_incarnation():
    pump = settled(4)
    node, other, *_ = pump.all()
    pump.leave(node)
    pump.run(5)
    late = Message(int(Kind.PING), "vm1", node.me.address, "dc", incarnation(node), 10**6, 0)
    late.to_incarnation = incarnation(other)
    other.receive(node.codec.encode(late, other.me.address))
    assert state(other, "vm1") is MemberState.LEFT
    pump.add(1)
    assert pump.run_until(pump.complete, 10) is not None


def test_views_are_plain_members_and_count_this_vm():
    pump = settled(3)
    node = pump.all()[0]
    assert node.live_count() == 3
    assert [type(m) for m in node.members()] == [MemberView] * 3
    assert node.members()[0].name == "vm1"
