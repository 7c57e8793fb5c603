"""Tests sharing of requests that are suspected of crashing upstreams."""

from ...fleet.base import CrashItem
from ...metrics import Metrics
from ...pipeline.sharing import Sharing
from .fakes import Behaviour, DispatchScene


class DelayedFleet:
    """A fleet of two VMs; `pending` has the items that were published and not yet delivered."""

    def __init__(self):
        self.pending = []

    def subscribe(self, kind, callback):
        return None

    def publish(self, item, urgency):
        self.pending.append(item)


def test_answer_clears_a_request_on_peers_that_learn_of_its_crashes_later():
    local_scene, peer_scene, fleet = (
        DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER),
        DispatchScene(Behaviour.ANSWER, Behaviour.ANSWER),
        DelayedFleet(),
    )
    local, peer = (
        Sharing(vm, scene.services, fleet, Metrics(), scene.clock)
        for vm, scene in (("vm-1", local_scene), ("vm-2", peer_scene))
    )
    exchange = local_scene.exchange()
    for upstream in ("u1", "u2"):
        local.record_crash(exchange, upstream)
    local.record_answer(exchange, 0.0)
    # Items may arrive in any order.
    for item in reversed(fleet.pending):
        assert isinstance(item, CrashItem)
        peer.handle_crash(item, "vm-1")
    ledger = peer_scene.services.by_name["s"].ledger
    assert not ledger.blocked_fingerprints
    peer.handle_crash(
        CrashItem(fleet.pending[0].fingerprint, "u1", peer_scene.clock.wall() + 60), "vm-1"
    )
    assert ledger.by_fingerprint
