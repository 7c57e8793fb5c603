"""Items through the fleet: configuration, lost marks, late joiners, pauses."""

from random import Random
from zlib import compress

import pytest

from ...fleet.base import (
    ConfigurationItem,
    CrashItem,
    DrainItem,
    LoadItem,
    RetryItem,
    Urgency,
)
from ...fleet.version_tracker import CONFIRMATION_TTL
from .simulation import FleetSimulation, live_names

IN_FORCE = 4.0
"""Seconds from acceptance to in force everywhere that the brief allows."""


def running(count=18, **more):
    simulation = FleetSimulation(count, **more)
    simulation.run(20)
    assert simulation.complete()
    for node in simulation.all():
        node.subscribe(ConfigurationItem, lambda item, sender, node=node: apply_all(node))
    return simulation


def apply_all(node):
    while item := node.version_tracker.next_change():
        node.record_applied(item.version)


def accept(node, version, size=300):
    node.record_applied(version)
    node.publish(ConfigurationItem(version, b"x" * size), Urgency.CONFIGURATION)


def in_force(simulation, version):
    return lambda: all(n.version_tracker.in_force == version for n in simulation.all())


@pytest.mark.parametrize(("size", "loss"), [(300, 0.0), (300, 0.2), (3000, 0.0)])
def test_a_change_is_in_force_everywhere_in_time_and_its_author_knows(size, loss):
    simulation = running()
    simulation.loss = loss
    author = simulation.all()[5]
    accept(author, 1, size)
    ack = author.track(1)
    assert simulation.run_until(in_force(simulation, 1), IN_FORCE) is not None
    told = simulation.run_until(lambda: author.count_in_force(1) == (18, 18), 10 if loss else 1)
    assert told is not None
    assert ack.count([*live_names(author)]) == (17, 17)


def test_changes_of_several_authors_are_applied_in_order_by_a_vm_that_was_paused():
    simulation = running(6)
    nodes, late = simulation.all()[:5], simulation.all()[5]
    order = []
    late.subscribe(
        ConfigurationItem, lambda item, sender: order.append(late.version_tracker.in_force)
    )
    simulation.pause(late)
    for version in range(1, 6):
        accept(nodes[version - 1], version)
        simulation.run(0.5)
    simulation.paused[late.own_member.address].clear()
    simulation.resume(late)
    assert simulation.run_until(in_force(simulation, 5), IN_FORCE) is not None
    assert order == sorted(order)


def test_after_a_short_pause_a_vm_is_ready_only_once_it_has_heard_others_again():
    simulation = running(6)
    accept(simulation.all()[0], 1)
    simulation.run(CONFIRMATION_TTL)
    node = simulation.all()[3]
    assert node.version_tracker.ready(simulation.clock.now())
    simulation.pause(node)
    simulation.run(3)
    simulation.resume(node)
    node.tick()
    assert not node.version_tracker.ready(simulation.clock.now())
    assert (
        simulation.run_until(lambda: node.version_tracker.ready(simulation.clock.now()), 4)
        is not None
    )


def test_a_joiner_gets_marks_and_configuration_from_its_peers_while_the_store_is_down():
    simulation = running(6)
    nodes = simulation.all()
    accept(nodes[0], 1)
    nodes[1].publish(DrainItem("up1", 3), Urgency.DRAIN)
    simulation.run(30)
    new, heard = simulation.add(7), []
    new.subscribe(ConfigurationItem, lambda item, sender: apply_all(new))
    new.subscribe(DrainItem, lambda item, sender: heard.append((item, sender)))
    assert not new.version_tracker.ready(simulation.clock.now())
    assert (
        simulation.run_until(lambda: new.version_tracker.ready(simulation.clock.now()), 15)
        is not None
    )
    assert new.version_tracker.in_force == 1
    assert simulation.run_until(lambda: heard == [(DrainItem("up1", 3), "vm2")], 15) is not None


def test_a_mark_that_was_lost_on_every_link_arrives_in_the_end_and_only_once():
    simulation = running(6)
    nodes = simulation.all()
    heard = []
    for node in nodes[1:]:
        node.subscribe(CrashItem, lambda item, sender: heard.append(item.fingerprint))
    simulation.loss = 1.0
    nodes[0].publish(CrashItem("print", "up1", 5.0), Urgency.CRASH)
    simulation.run(1.5)
    assert heard == []
    simulation.loss = 0.0
    assert simulation.run_until(lambda: len(heard) == 5, 60) is not None
    simulation.run(30)
    assert len(heard) == 5


def test_the_newer_word_on_a_subject_wins_in_whatever_order_they_come():
    simulation = running(3)
    first, second, third = simulation.all()
    heard = []
    third.subscribe(DrainItem, lambda item, sender: heard.append(item))
    first.publish(DrainItem("up1", 8, leaving=False), Urgency.DRAIN)
    simulation.run(2)
    second.publish(DrainItem("up1", 7), Urgency.DRAIN)
    simulation.run(15)
    assert heard == [DrainItem("up1", 8, leaving=False)]


def test_a_load_item_arrives_with_the_time_it_waited_added_to_its_age():
    simulation = running(2)
    first, second = simulation.all()
    heard = []
    second.subscribe(LoadItem, lambda item, sender: heard.append((item, sender)))
    simulation.loss = 1.0
    first.bucket.spend(3000)
    first.publish(LoadItem("up1", 2, 900, True, 40), Urgency.LOAD)
    simulation.loss = 0.0
    assert simulation.run_until(lambda: heard, 5) is not None
    item, sender = heard[0]
    assert sender == "vm1"
    assert item.age_ms > 40


def test_a_minority_that_is_cut_off_with_the_store_down_ends_its_readiness():
    simulation = running(7)
    nodes = simulation.all()
    accept(nodes[0], 1)
    simulation.run(CONFIRMATION_TTL)
    assert all(n.version_tracker.ready(simulation.clock.now()) for n in nodes)
    simulation.cut(nodes[:3], nodes[3:])
    simulation.run(20)
    ready = [n.version_tracker.ready(simulation.clock.now()) for n in nodes]
    assert ready == [False] * 3 + [True] * 4
    accept(nodes[6], 2)
    simulation.run(5)
    simulation.cuts.clear()
    assert simulation.run_until(in_force(simulation, 2), 20) is not None
    simulation.run(10)
    assert all(n.version_tracker.ready(simulation.clock.now()) for n in nodes)


def test_a_new_vm_gets_the_whole_document_from_a_peer_when_the_changes_are_gone():
    simulation = running(6)
    nodes = simulation.all()
    document = Random(1).randbytes(5000)
    for node in nodes:
        node.record_applied(40)
        node.set_document_handlers(lambda: (40, document), lambda version, data: None)
    new, got = simulation.add(7), []
    new.set_document_handlers(
        lambda: (0, b""), lambda v, data: (got.append((v, data)), new.record_applied(v))
    )
    simulation.loss = 0.05
    assert simulation.run_until(lambda: got, 60) is not None
    assert got == [(40, document)]
    simulation.loss = 0.0
    assert (
        simulation.run_until(lambda: new.version_tracker.ready(simulation.clock.now()), 10)
        is not None
    )
    simulation.run(10)
    assert len(got) == 1


def test_a_document_that_changes_while_it_is_fetched_is_never_mixed():
    simulation = running(2)
    holder, late = simulation.all()
    documents = {40: Random(1).randbytes(5000), 41: Random(2).randbytes(5000)}
    got = []
    holder.set_document_handlers(
        lambda: (holder.version_tracker.in_force, documents[newest()]), print
    )
    late.set_document_handlers(
        lambda: (0, b""), lambda v, data: (got.append(v), late.record_applied(v))
    )

    def newest():
        return holder.version_tracker.in_force

    holder.record_applied(40)
    assert simulation.run_until(lambda: late.snapshots.pieces, 10) is not None
    holder.record_applied(41)
    holder.snapshots.provided = (41, compress(documents[41]))
    assert simulation.run_until(lambda: late.version_tracker.in_force == 41, 30) is not None
    assert got == [41]


def test_a_vms_retries_are_heard_once_a_period_and_never_of_an_older_one():
    simulation = running(2)
    first, second = simulation.all()
    heard = []
    second.subscribe(RetryItem, lambda item, sender: heard.append((item.period, sender)))
    for period in (3, 4, 2, 4):
        first.publish(RetryItem("vm1", "spendview", period, 1, 20), Urgency.RETRY)
        simulation.run(4)
    assert heard == [(3, "vm1"), (4, "vm1")]
