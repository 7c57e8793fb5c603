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
from .pump import Pump, live_names

IN_FORCE = 4.0
"""Seconds from acceptance to in force everywhere that the brief allows."""


def running(count=18, **more):
    pump = Pump(count, **more)
    pump.run(20)
    assert pump.complete()
    for node in pump.all():
        node.subscribe(ConfigurationItem, lambda item, sender, node=node: apply_all(node))
    return pump


def apply_all(node):
    while item := node.version_tracker.next_change():
        node.applied(item.version)


def accept(node, version, size=300):
    node.applied(version)
    node.publish(ConfigurationItem(version, b"x" * size), Urgency.CONFIGURATION)


def in_force(pump, version):
    return lambda: all(n.version_tracker.in_force == version for n in pump.all())


@pytest.mark.parametrize(("size", "loss"), [(300, 0.0), (300, 0.2), (3000, 0.0)])
def test_a_change_is_in_force_everywhere_in_time_and_its_author_knows(size, loss):
    pump = running()
    pump.loss = loss
    author = pump.all()[5]
    accept(author, 1, size)
    ack = author.track(1)
    assert pump.run_until(in_force(pump, 1), IN_FORCE) is not None
    told = pump.run_until(lambda: author.spread(1) == (18, 18), 10 if loss else 1)
    assert told is not None
    assert ack.count([*live_names(author)]) == (17, 17)


def test_changes_of_several_authors_are_applied_in_order_by_a_vm_that_was_paused():
    pump = running(6)
    nodes, late = pump.all()[:5], pump.all()[5]
    order = []
    late.subscribe(
        ConfigurationItem, lambda item, sender: order.append(late.version_tracker.in_force)
    )
    pump.pause(late)
    for version in range(1, 6):
        accept(nodes[version - 1], version)
        pump.run(0.5)
    pump.paused[late.me.address].clear()
    pump.resume(late)
    assert pump.run_until(in_force(pump, 5), IN_FORCE) is not None
    assert order == sorted(order)


def test_after_a_short_pause_a_vm_is_ready_only_once_it_has_heard_others_again():
    pump = running(6)
    accept(pump.all()[0], 1)
    pump.run(CONFIRMATION_TTL)
    node = pump.all()[3]
    assert node.version_tracker.ready(pump.clock.now())
    pump.pause(node)
    pump.run(3)
    pump.resume(node)
    node.tick()
    assert not node.version_tracker.ready(pump.clock.now())
    assert pump.run_until(lambda: node.version_tracker.ready(pump.clock.now()), 4) is not None


def test_a_joiner_gets_marks_and_configuration_from_its_peers_while_the_store_is_down():
    pump = running(6)
    nodes = pump.all()
    accept(nodes[0], 1)
    nodes[1].publish(DrainItem("up1", 3), Urgency.DRAIN)
    pump.run(30)
    new, heard = pump.add(7), []
    new.subscribe(ConfigurationItem, lambda item, sender: apply_all(new))
    new.subscribe(DrainItem, lambda item, sender: heard.append((item, sender)))
    assert not new.version_tracker.ready(pump.clock.now())
    assert pump.run_until(lambda: new.version_tracker.ready(pump.clock.now()), 15) is not None
    assert new.version_tracker.in_force == 1
    assert pump.run_until(lambda: heard == [(DrainItem("up1", 3), "vm2")], 15) is not None


def test_a_mark_that_was_lost_on_every_link_arrives_in_the_end_and_only_once():
    pump = running(6)
    nodes = pump.all()
    heard = []
    for node in nodes[1:]:
        node.subscribe(CrashItem, lambda item, sender: heard.append(item.fingerprint))
    pump.loss = 1.0
    nodes[0].publish(CrashItem("print", "up1", 5.0), Urgency.CRASH)
    pump.run(1.5)
    assert heard == []
    pump.loss = 0.0
    assert pump.run_until(lambda: len(heard) == 5, 60) is not None
    pump.run(30)
    assert len(heard) == 5


def test_the_newer_word_on_a_subject_wins_in_whatever_order_they_come():
    pump = running(3)
    first, second, third = pump.all()
    heard = []
    third.subscribe(DrainItem, lambda item, sender: heard.append(item))
    first.publish(DrainItem("up1", 8, leaving=False), Urgency.DRAIN)
    pump.run(2)
    second.publish(DrainItem("up1", 7), Urgency.DRAIN)
    pump.run(15)
    assert heard == [DrainItem("up1", 8, leaving=False)]


def test_a_load_item_arrives_with_the_time_it_waited_added_to_its_age():
    pump = running(2)
    first, second = pump.all()
    heard = []
    second.subscribe(LoadItem, lambda item, sender: heard.append((item, sender)))
    pump.loss = 1.0
    first.bucket.spend(3000)
    first.publish(LoadItem("up1", 2, 900, True, 40), Urgency.LOAD)
    pump.loss = 0.0
    assert pump.run_until(lambda: heard, 5) is not None
    item, sender = heard[0]
    assert sender == "vm1"
    assert item.age_ms > 40


def test_a_minority_that_is_cut_off_with_the_store_down_ends_its_readiness():
    pump = running(7)
    nodes = pump.all()
    accept(nodes[0], 1)
    pump.run(CONFIRMATION_TTL)
    assert all(n.version_tracker.ready(pump.clock.now()) for n in nodes)
    pump.cut(nodes[:3], nodes[3:])
    pump.run(20)
    ready = [n.version_tracker.ready(pump.clock.now()) for n in nodes]
    assert ready == [False] * 3 + [True] * 4
    accept(nodes[6], 2)
    pump.run(5)
    pump.cuts.clear()
    assert pump.run_until(in_force(pump, 2), 20) is not None
    pump.run(10)
    assert all(n.version_tracker.ready(pump.clock.now()) for n in nodes)


def test_a_new_vm_gets_the_whole_document_from_a_peer_when_the_changes_are_gone():
    pump = running(6)
    nodes = pump.all()
    document = Random(1).randbytes(5000)
    for node in nodes:
        node.applied(40)
        node.exchange_documents(lambda: (40, document), lambda version, data: None)
    new, got = pump.add(7), []
    new.exchange_documents(
        lambda: (0, b""), lambda v, data: (got.append((v, data)), new.applied(v))
    )
    pump.loss = 0.05
    assert pump.run_until(lambda: got, 60) is not None
    assert got == [(40, document)]
    pump.loss = 0.0
    assert pump.run_until(lambda: new.version_tracker.ready(pump.clock.now()), 10) is not None
    pump.run(10)
    assert len(got) == 1


def test_a_document_that_changes_while_it_is_fetched_is_never_mixed():
    pump = running(2)
    holder, late = pump.all()
    documents = {40: Random(1).randbytes(5000), 41: Random(2).randbytes(5000)}
    got = []
    holder.exchange_documents(lambda: (holder.version_tracker.in_force, documents[newest()]), print)
    late.exchange_documents(lambda: (0, b""), lambda v, data: (got.append(v), late.applied(v)))

    def newest():
        return holder.version_tracker.in_force

    holder.applied(40)
    assert pump.run_until(lambda: late.snapshots.parts, 10) is not None
    holder.applied(41)
    holder.snapshots.given = (41, compress(documents[41]))
    assert pump.run_until(lambda: late.version_tracker.in_force == 41, 30) is not None
    assert got == [41]


def test_a_vms_retries_are_heard_once_a_period_and_never_of_an_older_one():
    pump = running(2)
    first, second = pump.all()
    heard = []
    second.subscribe(RetryItem, lambda item, sender: heard.append((item.period, sender)))
    for period in (3, 4, 2, 4):
        first.publish(RetryItem("vm1", "spendview", period, 1, 20), Urgency.RETRY)
        pump.run(4)
    assert heard == [(3, "vm1"), (4, "vm1")]
