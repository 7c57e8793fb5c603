"""What VMs tell each other of requests that are suspected of crashing upstreams."""

from ...fleet.base import CrashItem
from ...metrics import Metrics
from ...pipeline.sharing import Sharing
from .fakes import Act, Bench


class Wire:
    """A fleet of two VMs; `late` holds what the first said and the second has not heard."""

    def __init__(self):
        self.late = []

    def subscribe(self, kind, callback):
        return None

    def publish(self, item, urgency):
        self.late.append(item)


def test_an_answer_clears_a_request_on_vms_that_hear_of_its_crashes_late():
    here, there, wire = Bench(Act.ANSWER, Act.ANSWER), Bench(Act.ANSWER, Act.ANSWER), Wire()
    first, second = (
        Sharing(vm, bench.services, wire, Metrics(), bench.clock)
        for vm, bench in (("vm-1", here), ("vm-2", there))
    )
    exchange = here.exchange()
    for upstream in ("u1", "u2"):
        first.record_crash(exchange, upstream)
    first.record_answer(exchange)
    # Between VMs, words may come in any order.
    for item in reversed(wire.late):
        assert isinstance(item, CrashItem)
        second.handle_crash(item, "vm-1")
    ledger = there.services.by_name["s"].ledger
    assert not ledger.blocked_fingerprints
    second.handle_crash(CrashItem(wire.late[0].fingerprint, "u1", there.clock.wall() + 60), "vm-1")
    assert ledger.by_fingerprint
