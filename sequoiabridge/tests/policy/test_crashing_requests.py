"""Which requests the ledger blocks when several of them crash upstreams beside other trouble."""

from random import Random

import pytest

from ...config.gateway_settings import GatewaySettings
from ...gateway import Gateway
from ...policy.crashes import CrashLedger
from ..platform.environment import SETTINGS
from ..platform.soak.faulty_gateway import divide_blame

MIN_CRASHES = 3
"""Number of upstreams that a request may crash before it is blocked."""

MAX_CRASHES = 5
"""The same for one that crashed them together with requests that are blocked already."""


def platform_ledger():
    """Return the ledger of a daemon on the platform."""
    text = SETTINGS.format(store="127.0.0.1:1", port=2, port2=3)
    return Gateway(GatewaySettings.parse(text)).sender.crash_guard.ledger


class Upstreams:
    """Upstreams that end, each under a name of its own, and the ledger that is told of it.

    Attributes:
        crashes: Number of upstreams that ended while they ran each request.
    """

    def __init__(self, interval=0.5):
        self.ledger = platform_ledger()
        self.interval = interval
        self.now = 1000.0
        self.count = 0
        self.crashes: dict[str, int] = {}

    def end(self, *requests):
        """Let one upstream end that runs `requests`."""
        self.count += 1
        for request in requests:
            self.ledger.record_crash(request, f"u{self.count}", "vm", self.now, self.now)
            self.crashes[request] = self.crashes.get(request, 0) + 1
        self.now += self.interval

    def is_blocked(self, request):
        return self.ledger.is_blocked(request, self.now)


@pytest.mark.parametrize("interval", [0.1, 0.5, 2.0])
def test_each_of_several_crashing_requests_is_blocked_after_three_crashes(interval):
    # Each crash of one of them counted against the others, with the square of their number.
    for count in (1, 2, 3, 5, 8):
        check_crashes_in_turn(Upstreams(interval), count)


def check_crashes_in_turn(upstreams, count):
    """Let requests crash upstreams in turn until they are blocked; check their crashes."""
    requests = [f"crashing-{number}" for number in range(count)]
    for _ in range(20):
        for request in requests:
            if not upstreams.is_blocked(request):
                upstreams.end(request)
    assert upstreams.crashes == dict.fromkeys(requests, MIN_CRASHES)


@pytest.mark.parametrize("others", [4, 8, 12, 24])
def test_upstreams_that_end_by_themselves_do_not_protect_a_crashing_request(others):
    # They counted against it as another cause, with the square of their number.
    upstreams = Upstreams(0.5 / (others + 1))
    for _ in range(MIN_CRASHES):
        for _ in range(others):
            upstreams.end()
            upstreams.end("bystander-" + str(upstreams.count))
        upstreams.end("crashing")
    assert upstreams.is_blocked("crashing")
    assert upstreams.ledger.blocked_fingerprints == {"crashing"}


def test_a_blocked_request_stays_blocked_while_others_crash_upstreams():
    # Each crash nearby computed its blame anew, and it fell below the bound.
    upstreams = Upstreams(0.2)
    for _ in range(MIN_CRASHES):
        upstreams.end("first")
    assert upstreams.is_blocked("first")
    for number in range(30):
        upstreams.end(f"other-{number % 4}")
        assert upstreams.is_blocked("first")


def test_crashing_requests_on_the_same_upstreams_are_blocked_after_five_crashes():
    # Each of them explained the crashes of the others.
    for seed in range(20):
        check_crashes_on_the_same_upstreams(Upstreams(0.1), Random(seed))


def check_crashes_on_the_same_upstreams(upstreams, random):
    """Let requests crash upstreams, some of them together, and check that all are blocked."""
    requests = [f"crashing-{number}" for number in range(4)]
    for _ in range(60):
        running = random.sample(requests, random.choice((1, 1, 2)))
        running = [one for one in running if not upstreams.is_blocked(one)]
        if running:
            upstreams.end(*running, f"page-{upstreams.count}")
    assert upstreams.ledger.blocked_fingerprints == set(requests)
    assert max(upstreams.crashes[request] for request in requests) <= MAX_CRASHES


def test_popular_requests_are_not_blocked_when_six_upstreams_end_together():
    upstreams = Upstreams(0.0)
    for page in ("first", "second"):
        upstreams.ledger.record_answer(page, upstreams.now - 0.5)
    for _ in range(6):
        upstreams.end("first", "second")
    assert not upstreams.ledger.blocked_fingerprints


def test_a_popular_request_that_begins_to_crash_upstreams_is_blocked():
    upstreams = Upstreams()
    upstreams.ledger.record_answer("page", upstreams.now - 0.5)
    while not upstreams.is_blocked("page"):
        upstreams.end("page")
    assert upstreams.crashes["page"] <= 8


def test_an_answer_to_an_earlier_send_does_not_clear_later_crashes():
    upstreams = Upstreams()
    sent_at = upstreams.now - 1.0
    for _ in range(MIN_CRASHES):
        upstreams.end("crashing")
    upstreams.ledger.record_answer("crashing", sent_at)
    assert upstreams.is_blocked("crashing")


def test_a_block_ends_when_an_upstream_of_its_evidence_turns_out_to_be_alive():
    # An upstream that had only been stopped counted as crashed until a trial was answered.
    upstreams = Upstreams()
    for _ in range(MIN_CRASHES):
        upstreams.end("page")
    suspects = upstreams.ledger.withdraw_crashes("u1", upstreams.now, upstreams.now)
    assert list(suspects) == ["page"] and suspects["page"] is not None
    assert not upstreams.is_blocked("page")
    assert not upstreams.ledger.record_block("page", upstreams.now - 1.0, upstreams.now)
    upstreams.end("page")
    assert upstreams.is_blocked("page"), "the other crashes still count"


def test_a_withdrawn_crash_ends_no_block_that_has_enough_other_evidence():
    upstreams = Upstreams()
    for _ in range(MIN_CRASHES + 1):
        upstreams.end("crashing")
    upstreams.ledger.withdraw_crashes("u1", upstreams.now, upstreams.now)
    assert upstreams.is_blocked("crashing")
    assert not upstreams.ledger.unblock("crashing", upstreams.now)


def test_a_withdrawn_crash_ends_no_block_whose_evidence_is_not_known_here():
    upstreams = Upstreams()
    upstreams.end("crashing")
    upstreams.ledger.record_block("crashing", upstreams.now, upstreams.now)
    upstreams.ledger.withdraw_crashes("u1", upstreams.now, upstreams.now)
    assert upstreams.is_blocked("crashing")


def test_a_crash_after_the_answer_of_an_upstream_is_not_withdrawn():
    upstreams = Upstreams()
    for _ in range(MIN_CRASHES):
        upstreams.end("crashing")
    upstreams.ledger.withdraw_crashes("u1", 999.0, upstreams.now)
    assert upstreams.is_blocked("crashing")


def test_the_blame_of_a_fleet_daemon_protects_no_request_for_more_than_six_crashes():
    # Upstreams that ended nearby lowered the blame without a bound.
    ledger = CrashLedger()
    for number in range(6):
        for other in range(8):
            ledger.record_crash(
                f"page-{number}-{other}", f"o{number}-{other}", "vm", number, number
            )
        ledger.record_crash("crashing", f"u{number}", "vm", number, number)
    assert ledger.blocked_fingerprints == {"crashing"}


def test_the_checks_detect_a_ledger_that_divides_the_blame_among_all_causes():
    class DividingLedger(CrashLedger):
        """Blocks by the blame alone."""

    divide_blame(DividingLedger)
    upstreams = Upstreams()
    upstreams.ledger = DividingLedger(MIN_CRASHES, MIN_CRASHES)
    with pytest.raises(AssertionError):
        check_crashes_in_turn(upstreams, 5)
