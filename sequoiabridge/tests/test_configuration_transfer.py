"""Transfer of configurations between VMs while the platform's table is unavailable."""

from random import Random

import curio

from ..config.change import Change, SetEntry
from ..config.document import Document
from ..configuration import ConfigurationInForce
from ..fleet.base import Urgency
from ..fleet.marks import ChangeLog
from ..store.versions import Versions
from ..timers import Timers
from .fleet.simulation import FleetSimulation
from .store.store_fakes import system_clock_platform

SERVICE = Change([SetEntry("service", "spendview", {"path_prefix": "/spend"})])
POOL = SetEntry("pool", "spendview", {"service": "spendview"})


def upstreams(count):
    """Return a change that adds upstreams with addresses that do not compress well."""
    random, entries = Random(1), [POOL]
    for number in range(count):
        address = f"10.{random.randrange(256)}.{random.randrange(256)}.7:{9000 + number}"
        options = {"pool": "spendview", "address": address}
        entries.append(SetEntry("upstream", f"spendview-{number}", options))
    return Change(entries)


class VirtualFleet:
    """VMs with real configurations and a platform in memory."""

    def __init__(self, count):
        self.bench, self.simulation, self.configurations = (
            system_clock_platform(),
            FleetSimulation(count),
            [],
        )
        for node in self.simulation.all():
            self.join(node)
        assert self.simulation.run_until(self.simulation.complete, 20) is not None

    def join(self, node):
        """Add a node; return its configuration and a list of the versions that come into force."""
        versions, seen = Versions(self.bench.client(), self.bench.clock), []
        clock = self.bench.clock
        configuration = ConfigurationInForce(
            versions, node, clock, lambda doc: seen.append(doc.version)
        )
        configuration.subscribe(Timers(self.simulation.clock))
        self.configurations.append(configuration)
        return configuration, seen

    def accept(self, change, lost=True):
        """Accept a change at the first VM; if `lost`, the store fails after its commit."""
        self.bench.faults.down_after = int(lost)
        configuration = self.configurations[0]
        assert curio.run(
            configuration.propose, change, "anna", configuration.in_force.version
        ).is_ok()
        assert self.bench.faults.down == lost

    def everywhere(self, version, limit):
        """Return the seconds until a version is in force on all VMs, None if it is not."""
        return self.simulation.run_until(lambda: self.all_have(version), limit)

    def all_have(self, version):
        """Run the polls that are due; return whether a version is in force on all VMs."""
        for configuration in self.configurations:
            for poll in configuration.timers.run_due():
                curio.run(poll)
        return all(
            configuration.in_force.version == version for configuration in self.configurations
        )


def test_new_vm_gets_the_configuration_from_its_peers_while_the_table_is_down():
    fleet = VirtualFleet(4)
    fleet.accept(SERVICE)
    assert fleet.everywhere(1, 10) is not None
    fleet.simulation.run(10)  # No message about the change is in flight any more.
    for node in fleet.simulation.all():
        node.spreader.changes = ChangeLog()  # As after many later changes.
        node.spreader.queue.queues[Urgency.CONFIGURATION].clear()
    node = fleet.simulation.add(5)
    configuration, seen = fleet.join(node)
    assert (
        fleet.simulation.run_until(
            lambda: node.version_tracker.ready(fleet.simulation.clock.now()), 30
        )
        is not None
    )
    assert seen == [1]
    assert configuration.in_force.encode() == fleet.configurations[0].in_force.encode()


def test_change_of_300_upstreams_is_in_force_if_the_store_fails_right_after_the_commit():
    fleet = VirtualFleet(18)
    fleet.accept(SERVICE)
    assert fleet.everywhere(1, 10) is not None
    fleet.bench.faults.down = False
    fleet.accept(upstreams(300))
    assert fleet.everywhere(2, 10) is not None


def test_large_change_is_read_from_the_table_while_it_is_available():
    fleet = VirtualFleet(4)
    fleet.accept(SERVICE)
    assert fleet.everywhere(1, 10) is not None
    fleet.bench.faults.down = False
    fleet.accept(upstreams(300), lost=False)
    assert fleet.everywhere(2, 10) is not None
    assert [node.spreader.spread_version for node in fleet.simulation.all()] == [0] * 4


def test_change_too_large_for_a_message_is_received_as_a_document_from_peers():
    fleet = VirtualFleet(18)
    fleet.accept(SERVICE)
    assert fleet.everywhere(1, 10) is not None
    fleet.bench.faults.down = False
    fleet.accept(upstreams(2000))
    # Takes several times as long if a VM sends the document to all others at the same time.
    assert fleet.everywhere(2, 150) is not None


def test_spread_counts_the_vms_on_which_a_version_is_in_force():
    fleet = VirtualFleet(3)
    fleet.simulation.cut(fleet.simulation.all()[:1], fleet.simulation.all()[1:])
    fleet.accept(SERVICE)
    assert fleet.configurations[0].count_in_force(1) == (1, 3)
    fleet.simulation.cuts.clear()
    assert fleet.everywhere(1, 20) is not None
    fleet.simulation.run(5)
    assert fleet.configurations[0].count_in_force(1) == (3, 3)


def test_older_or_invalid_document_is_ignored():
    fleet = VirtualFleet(1)
    fleet.accept(SERVICE)
    configuration = fleet.configurations[0]
    configuration.receive_document(1, Document.empty().encode())
    configuration.receive_document(2, b"\xc1 not a document")
    configuration.receive_document(2, configuration.in_force.encode())
    assert configuration.in_force.version == 1 and "spendview" in configuration.in_force.services
