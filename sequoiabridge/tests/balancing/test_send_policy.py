"""Every reason for which an upstream gets no call, at its choice and right before the send."""

import curio
import pytest

from ...balancing.call import Call
from ...balancing.exclusion import Exclusion
from ...balancing.permits import PERMIT_SECONDS
from ...balancing.send_policy import NoBlocks, SendPolicy
from ...exceptions import Refusal, SendWithheld
from ...outcome import Outcome, Reason
from ...timers import ManualClock
from ..relay.fakes import record, upstream


def drain(one):
    one.record = record("u", draining=True)


def replace(one):
    one.replaced = True


def restart(one):
    one.has_restarted = True


def leave(one):
    one.departure.since = 99.0


def lapse(one):
    one.forget_at = 100.0


REASONS = [
    (drain, Exclusion.DRAINING),
    (replace, Exclusion.REPLACED),
    (restart, Exclusion.RESTARTED),
    (lapse, Exclusion.LAPSED),
    (leave, Exclusion.LEAVING),
]


@pytest.mark.parametrize(("change", "reason"), REASONS)
def test_an_excluded_upstream_is_neither_chosen_nor_sent_to(change, reason):
    policy, one = SendPolicy(ManualClock(100.0)), upstream()
    assert policy.why_not(one, 0) is None and policy.wait(one, 0) == 0.0
    policy.check_send(one, None)
    change(one)
    assert policy.why_not(one, 0) is reason
    with pytest.raises(SendWithheld, match=reason.value):
        policy.check_send(one, None)
    assert policy.counts == {reason: 1}


def test_an_upstream_with_a_limit_needs_a_recent_permit():
    clock = ManualClock(100.0)
    policy, one = SendPolicy(clock), upstream()
    one.stats.request_limit.observe(1.0, 100.0)
    assert policy.why_not(one, 0) is Exclusion.LIMIT
    policy.check_send(one, 100.0)
    for permit_at in (None, 100.0 - PERMIT_SECONDS - 0.1):
        with pytest.raises(SendWithheld, match="permit-missing"):
            policy.check_send(one, permit_at)


def test_a_call_whose_request_is_blocked_is_not_sent():
    policy, call = SendPolicy(ManualClock(100.0)), Call(100.0)
    curio.run(policy.check_request, call, upstream())
    policy.blocks = BlockAll()
    with pytest.raises(SendWithheld, match="crashes-upstreams"):
        curio.run(policy.check_request, call, upstream())


class BlockAll(NoBlocks):
    """Blocks all requests."""

    def refusal(self, call):
        return Refusal(503, Outcome.NOT_RUN, Reason.CRASHES_UPSTREAMS, "blocked")
