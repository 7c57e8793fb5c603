"""Tests of whose fault a connection that failed counts as."""

import curio
import pytest

from ....balancing.call import CallAttempt, Ending
from ....balancing.cost_model import CostEstimate
from ....relay.paths import connection_failures
from ....relay.paths.connection_failures import ConnectionFailures
from ....timers import ManualClock
from ..fakes import upstream
from .peer_scene import Decisions


class Opener:
    """Answers which ways lead to the upstream."""

    def __init__(self, directly, through_peers):
        self.directly = directly
        self.through_peers = through_peers

    async def is_directly_reachable(self, address):
        """Return whether the direct way leads there."""
        return self.directly

    async def is_reachable(self, address):
        """Return whether any way leads there."""
        return self.directly or self.through_peers


class Table:
    """Answers which upstreams are heard."""

    def __init__(self, others, directly=False):
        self.heard_at = float("inf") if others else float("-inf")
        self.directly = directly

    def has_heard_directly(self, address, since):
        """Return whether the upstream was heard by the direct way."""
        return self.directly


class Sharing:
    """Counts the failures that are told to peers."""

    def __init__(self):
        self.failures = 0

    def record_failure(self, upstream):
        """Count a failure."""
        self.failures += 1


def judge(opener, table, sent=True, via=""):
    """Return the number of failures that count against the upstream."""
    attempt = CallAttempt(CostEstimate(upstream(), 0.1, 0.1, 0.0, 0.0, 1.0, 0, 0.0, 0.0), 0.0)
    attempt.sent, attempt.via = sent, via
    attempt.ending = Ending.BROKEN if sent else Ending.NOT_SENT
    sharing = Sharing()
    failures = ConnectionFailures(table, opener, sharing, Decisions(), ManualClock())
    curio.run(failures.judge, attempt)
    assert failures.of_paths + sharing.failures == 1 and failures.open == 0
    return sharing.failures


@pytest.fixture(autouse=True)
def no_waits(monkeypatch):
    """Let nothing be waited for."""
    monkeypatch.setattr(connection_failures, "PROOF_SECONDS", 0.0)
    monkeypatch.setattr(connection_failures, "POLL_INTERVAL", 0.0)


def test_an_upstream_that_breaks_connections_although_its_path_works_has_failed():
    assert judge(Opener(True, True), Table(others=False)) == 1
    assert judge(Opener(False, False), Table(others=False, directly=True)) == 1


def test_an_upstream_that_peers_reach_has_not_failed():
    # Peers counted it as a failure of the upstream and sent it fewer calls.
    assert judge(Opener(False, True), Table(others=True)) == 0


def test_an_upstream_that_nobody_reaches_has_failed_if_others_are_heard():
    assert judge(Opener(False, False), Table(others=True)) == 1
    assert judge(Opener(False, False), Table(others=True), sent=False) == 1


def test_no_upstream_has_failed_while_none_is_heard():
    # All ways may be closed.
    assert judge(Opener(False, False), Table(others=False)) == 0
    assert judge(Opener(False, False), Table(others=False), sent=False) == 0


def test_a_peer_that_breaks_off_is_no_failure_of_the_upstream():
    assert judge(Opener(False, True), Table(others=True), via="peer") == 0
    assert judge(Opener(False, False), Table(others=True), via="peer") == 1
