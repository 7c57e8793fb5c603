"""Spreading of items through the fleet, with message loss, joins, pauses and partitions."""

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

MAX_SPREAD_SECONDS = 4.0
"""Maximum seconds from the commit of a change until it is in force on every VM."""


def start_fleet(count=18, **more):
    simulation = FleetSimulation(count, **more)
    simulation.run(20)
    assert simulation.complete()
    for node in simulation.all():
        node.subscribe(ConfigurationItem, lambda item, sender, node=node: apply_changes(node))
    return simulation


def apply_changes(node):
    while item := node.version_tracker.next_change():
        node.record_applied(item.version)


def commit(node, version, size=300):
    node.record_applied(version)
    node.publish(ConfigurationItem(version, b"x" * size), Urgency.CONFIGURATION)


def is_in_force(simulation, version):
    return lambda: all(n.version_tracker.in_force == version for n in simulation.all())


@pytest.mark.parametrize(("size", "loss"), [(300, 0.0), (300, 0.2), (3000, 0.0)])
def test_a_change_is_in_force_everywhere_in_time_and_confirmed_to_its_publisher(size, loss):
    simulation = start_fleet()
    simulation.loss = loss
    publisher = simulation.all()[5]
    commit(publisher, 1, size)
    tracker = publisher.track(1)
    assert simulation.run_until(is_in_force(simulation, 1), MAX_SPREAD_SECONDS) is not None
    confirmed_after = simulation.run_until(
        lambda: publisher.count_in_force(1) == (18, 18), 10 if loss else 1
    )
    assert confirmed_after is not None
    assert tracker.count([*live_names(publisher)]) == (17, 17)


def test_changes_of_several_publishers_are_applied_in_order_after_a_pause():
    simulation = start_fleet(6)
    nodes, late = simulation.all()[:5], simulation.all()[5]
    order = []
    late.subscribe(
        ConfigurationItem, lambda item, sender: order.append(late.version_tracker.in_force)
    )
    simulation.pause(late)
    for version in range(1, 6):
        commit(nodes[version - 1], version)
        simulation.run(0.5)
    simulation.paused[late.own_member.address].clear()
    simulation.resume(late)
    assert simulation.run_until(is_in_force(simulation, 5), MAX_SPREAD_SECONDS) is not None
    assert order == sorted(order)


def test_after_a_short_pause_a_vm_is_ready_only_once_others_confirm_again():
    simulation = start_fleet(6)
    commit(simulation.all()[0], 1)
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


def test_a_new_vm_gets_marks_and_configuration_from_peers_without_the_table():
    simulation = start_fleet(6)
    nodes = simulation.all()
    commit(nodes[0], 1)
    nodes[1].publish(DrainItem("up1", 3), Urgency.DRAIN)
    simulation.run(30)
    new, received = simulation.add(7), []
    new.subscribe(ConfigurationItem, lambda item, sender: apply_changes(new))
    new.subscribe(DrainItem, lambda item, sender: received.append((item, sender)))
    assert not new.version_tracker.ready(simulation.clock.now())
    assert (
        simulation.run_until(lambda: new.version_tracker.ready(simulation.clock.now()), 15)
        is not None
    )
    assert new.version_tracker.in_force == 1
    assert simulation.run_until(lambda: received == [(DrainItem("up1", 3), "vm2")], 15) is not None


def test_a_mark_lost_on_every_link_is_repaired_and_delivered_once():
    simulation = start_fleet(6)
    nodes = simulation.all()
    received = []
    for node in nodes[1:]:
        node.subscribe(CrashItem, lambda item, sender: received.append(item.fingerprint))
    simulation.loss = 1.0
    nodes[0].publish(CrashItem("print", "up1", 5.0), Urgency.CRASH)
    simulation.run(1.5)
    assert received == []
    simulation.loss = 0.0
    assert simulation.run_until(lambda: len(received) == 5, 60) is not None
    simulation.run(30)
    assert len(received) == 5


def test_the_newest_item_on_a_subject_wins_in_any_order_of_arrival():
    simulation = start_fleet(3)
    first, second, third = simulation.all()
    received = []
    third.subscribe(DrainItem, lambda item, sender: received.append(item))
    first.publish(DrainItem("up1", 8, leaving=False), Urgency.DRAIN)
    simulation.run(2)
    second.publish(DrainItem("up1", 7), Urgency.DRAIN)
    simulation.run(15)
    assert received == [DrainItem("up1", 8, leaving=False)]


def test_the_age_of_a_load_item_includes_its_time_in_the_queue():
    simulation = start_fleet(2)
    first, second = simulation.all()
    received = []
    second.subscribe(LoadItem, lambda item, sender: received.append((item, sender)))
    simulation.loss = 1.0
    first.bucket.spend(3000)
    first.publish(LoadItem("up1", 2, 900, True, 40), Urgency.LOAD)
    simulation.loss = 0.0
    assert simulation.run_until(lambda: received, 5) is not None
    item, sender = received[0]
    assert sender == "vm1"
    assert item.age_ms > 40


def test_an_isolated_minority_without_the_table_stops_being_ready():
    simulation = start_fleet(7)
    nodes = simulation.all()
    commit(nodes[0], 1)
    simulation.run(CONFIRMATION_TTL)
    assert all(n.version_tracker.ready(simulation.clock.now()) for n in nodes)
    simulation.cut(nodes[:3], nodes[3:])
    simulation.run(20)
    ready = [n.version_tracker.ready(simulation.clock.now()) for n in nodes]
    assert ready == [False] * 3 + [True] * 4
    commit(nodes[6], 2)
    simulation.run(5)
    simulation.cuts.clear()
    assert simulation.run_until(is_in_force(simulation, 2), 20) is not None
    simulation.run(10)
    assert all(n.version_tracker.ready(simulation.clock.now()) for n in nodes)


def test_a_new_vm_gets_the_whole_document_from_a_peer_without_the_changes():
    simulation = start_fleet(6)
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


def test_pieces_of_two_versions_of_a_document_are_never_combined():
    simulation = start_fleet(2)
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


def test_retry_counts_are_delivered_once_per_period_and_never_for_an_older_one():
    simulation = start_fleet(2)
    first, second = simulation.all()
    received = []
    second.subscribe(RetryItem, lambda item, sender: received.append((item.period, sender)))
    for period in (3, 4, 2, 4):
        first.publish(RetryItem("vm1", "spendview", period, 1, 20), Urgency.RETRY)
        simulation.run(4)
    assert received == [(3, "vm1"), (4, "vm1")]
