"""Simulation of the paths of 110 VMs, of which some have lost theirs."""

from random import Random

import pytest

from ...balancing.path_peers import PathPeer, PathPeers
from ...balancing.paths import CONNECT_TIMEOUT, FailedAttempt, PathTable

VM_COUNT = 110
UPSTREAM_COUNT = 60
ADDRESSES = [f"10.0.0.{number}:80" for number in range(UPSTREAM_COUNT)]
ROUND_TRIP = 0.006
OPEN_INTERVAL = 0.25
"""Seconds between two connections that a VM opens."""

STABLE_SECONDS = 3.0
MIN_OPENED_SHARE = 0.95
MAX_SHARE_OF_A_HELPER = 3.0
"""Maximum number of connections that one VM opens for others, as a multiple of the mean, if it is
more than it opens for itself."""


class SimulatedVm:
    """A VM, its table of paths, and how many connections it opened for others."""

    def __init__(self, number, random):
        self.name = f"vm-{number}"
        self.table = PathTable(PathPeers(random), lambda: ADDRESSES)
        self.is_cut = False
        self.served = 0

    def open_directly(self, address, now):
        """Return the seconds that a direct attempt takes, and whether it succeeds."""
        if self.is_cut:
            self.table.record_direct_failure(address, now, "", now)
            return None
        self.table.record_direct(address, now)
        return ROUND_TRIP

    def serve(self, address, now):
        """Return the seconds for which a peer waits, and whether the connection is opened."""
        if self.table.lost_since is not None or self.table.is_isolated(now):
            return ROUND_TRIP, False
        if self.open_directly(address, now) is None:
            return float("inf"), False
        self.served += 1
        return 2 * ROUND_TRIP, True


def open_connection(vm, fleet, address, now):
    """Open a connection as the opener does; return the seconds it took, None if it failed."""
    elapsed, attempt = 0.0, FailedAttempt(now)
    for way in vm.table.ways(address, now):
        left = CONNECT_TIMEOUT - elapsed
        if left <= 0.005:
            break
        if way.peer is None:
            took = vm.open_directly(address, now + elapsed)
            if took is not None:
                return elapsed + took
            elapsed += min(way.timeout, left)
            continue
        attempt.peers_asked = True
        took, opened = fleet[way.peer.vm].serve(address, now + elapsed)
        elapsed += min(took, way.timeout, left)
        if opened:
            vm.table.record_through_peer(address, way.peer, now + elapsed)
            return elapsed
        if took == ROUND_TRIP:
            vm.table.record_peer_failure(way.peer, now + elapsed)
        else:
            attempt.peers_tried = True
    vm.table.record_unreachable(address, attempt, now + elapsed)
    return None


def simulate(cut_count, seconds=8.0, seed=1):
    """Let VMs open connections while some are cut; return the VMs and the attempts of cut ones.

    Each attempt is its time and the seconds it took, None if it failed.
    """
    random = Random(seed)
    vms = [SimulatedVm(number, random) for number in range(VM_COUNT)]
    fleet = {vm.name: vm for vm in vms}
    for vm in vms:
        others = [other.name for other in vms if other is not vm]
        vm.table.peers.update(PathPeer(name, f"{name}:1") for name in others)
    for vm in random.sample(vms, cut_count):
        vm.is_cut = True
    attempts = []
    for step in range(int(seconds / OPEN_INTERVAL)):
        for vm in vms:
            now = step * OPEN_INTERVAL + random.uniform(0.0, OPEN_INTERVAL)
            took = open_connection(vm, fleet, random.choice(ADDRESSES), now)
            if vm.is_cut:
                attempts.append((now, took))
    return vms, attempts


@pytest.mark.parametrize("cut_count", [2, 22, 55, 88, 105])
def test_vms_without_paths_open_connections_through_the_others(cut_count):
    seconds = 8.0
    vms, attempts = simulate(cut_count, seconds)
    late = [took for at, took in attempts if at >= STABLE_SECONDS]
    assert sum(took is not None for took in late) >= MIN_OPENED_SHARE * len(late)
    helpers = [vm.served for vm in vms if not vm.is_cut]
    mean = sum(helpers) / len(helpers)
    assert max(helpers) <= max(seconds / OPEN_INTERVAL, MAX_SHARE_OF_A_HELPER * mean)


def test_all_vms_know_soon_that_none_has_a_path():
    vms, _ = simulate(VM_COUNT)
    assert all(vm.table.is_isolated(8.0) for vm in vms)
