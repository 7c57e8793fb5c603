"""The byte bucket and the send queue: rate, priorities and freedom from starvation."""

import msgspec
import pytest

from ...fleet.base import ConfigurationItem, DrainItem, LoadItem, Urgency
from ...fleet.bucket import HEARTBEAT, MAX_QUEUED_ENTRIES, ByteBucket, QueueEntry, SendQueue
from ...fleet.wire import Parcel
from .simulation import GONE_STATES, FleetSimulation, state


def entry(subject, urgency, size=50):
    return QueueEntry(subject, urgency, Parcel(msgspec.Raw(b"\xc0"), "vm1"), size, 0.0)


def test_a_newer_item_replaces_a_queued_one():
    queue = SendQueue()
    old, new = entry("a", Urgency.LOAD), entry("a", Urgency.LOAD)
    queue.put(old)
    queue.put(new)
    assert list(queue.waiting()) == [new]
    assert queue.count == 1


@pytest.mark.parametrize("above", list(Urgency)[:-1])
def test_a_flood_of_one_urgency_leaves_bytes_for_higher_ones(above):
    bucket = ByteBucket(3000, 0.0)
    below = Urgency(above + 1)
    while bucket.room(below) > 0:
        bucket.spend(10)
    assert bucket.room(above) > 0
    assert bucket.room(HEARTBEAT) > bucket.room(Urgency.CONFIGURATION) > 0


def test_most_urgent_entries_go_first_and_a_full_queue_drops_the_lowest():
    queue, bucket = SendQueue(), ByteBucket(3000, 0.0)
    for i in range(MAX_QUEUED_ENTRIES + 5):
        queue.put(entry(i, Urgency.LOAD))
    queue.put(entry("c", Urgency.CONFIGURATION))
    queue.put(entry("d", Urgency.DRAIN))
    assert queue.dropped == 7
    chosen = queue.take("vm2", 130, bucket, 18)
    assert [e.urgency for e in chosen] == [Urgency.CONFIGURATION, Urgency.DRAIN]
    assert queue.take("vm2", 130, bucket, 18)[0].urgency is Urgency.LOAD
    bucket.spend(1600)
    assert (
        queue.take("vm2", 130, bucket, 18) == []
    ), "load stops while higher urgencies may still spend"
    assert len(queue.take("vm3", 130, bucket, 18)) == 2


def test_an_item_goes_to_each_vm_once_and_to_a_limited_number_of_vms():
    queue, bucket = SendQueue(), ByteBucket(3000, 0.0)
    queue.put(entry("c", Urgency.DRAIN))
    counts = [len(queue.take(f"vm{i // 2}", 1000, bucket, 18)) for i in range(40)]
    assert counts[:4] == [1, 0, 1, 0]
    assert sum(counts) == 5


def test_a_flood_keeps_within_the_rate_and_delays_neither_heartbeats_nor_configuration():
    simulation = FleetSimulation(6)
    simulation.run(10)
    first, *others = simulation.all()
    start = simulation.clock.now(), first.counters.bytes_sent
    for second in range(20):
        for i in range(100):
            first.publish(LoadItem(f"up{i}", second, 1, False, 0), Urgency.LOAD)
            first.publish(DrainItem(f"up{i}-{second}", second), Urgency.DRAIN)
        simulation.run(1)
    first.publish(ConfigurationItem(1, b"x" * 300), Urgency.CONFIGURATION)
    assert simulation.run_until(lambda: all(n.version_tracker.newest == 1 for n in others), 4)
    spent = first.counters.bytes_sent - start[1]
    assert spent <= 3000 * (simulation.clock.now() - start[0]) + 2 * 3000
    assert all(state(a, f"vm{i}") not in GONE_STATES for a in simulation.all() for i in range(1, 7))
