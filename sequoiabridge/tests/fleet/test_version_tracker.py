"""When a VM may know that it is current, and how changes come in order."""

import pytest

from ...fleet.base import ConfigurationItem
from ...fleet.currency import CONFIRM_WITHIN, Currency, SpreadAck


def change(version):
    return ConfigurationItem(version, b"c%d" % version)


def at_version(version, now=0.0, live=18, expected=18):
    currency = Currency(now)
    currency.fleet(live, expected)
    currency.seen(version, now)
    currency.applied(version, now)
    return currency


def test_a_new_vm_is_not_ready_until_the_table_or_enough_peers_were_heard():
    currency = Currency(0.0)
    currency.fleet(18, 18)
    assert "No configuration" in currency.why(0.0)
    currency.offer(change(1), 0.0)
    assert "fetching" in currency.why(0.0)
    currency.applied(1, 0.0)
    assert not currency.ready(0.0)
    for name in ("a", "b"):
        currency.heard(name, 0.0)
    assert "2 VMs of 3" in currency.why(0.0)
    currency.heard("c", 0.0)
    assert currency.ready(0.0)

    fresh = Currency(0.0)
    fresh.table(4, 0.0)
    fresh.applied(4, 0.1)
    assert fresh.ready(1.0)


def test_a_cut_off_vm_stops_being_ready_and_says_why():
    currency = at_version(3)
    currency.table(3, 0.0)
    currency.fleet(1, 18)
    assert currency.ready(CONFIRM_WITHIN)
    assert "1 of 18" in currency.why(CONFIRM_WITHIN + 0.1)


@pytest.mark.parametrize(("live", "ready"), [(9, False), (10, True), (12, True)])
def test_with_the_store_down_only_a_majority_may_go_on(live, ready):
    currency = at_version(3, live=live)
    for name in ("a", "b", "c"):
        currency.heard(name, 10.0)
    assert currency.ready(10.0) is ready


def test_a_newer_version_heard_anywhere_ends_readiness_until_it_is_in_force():
    currency = at_version(3)
    currency.table(3, 0.0)
    currency.seen(4, 0.1)
    assert not currency.ready(0.1)
    currency.applied(4, 0.2)
    assert currency.ready(0.2)


def test_an_older_version_is_never_applied():
    currency = at_version(5)
    assert not currency.applied(4, 1.0)
    assert not currency.offer(change(4), 1.0)
    currency.table(4, 1.0)
    assert (currency.in_force, currency.newest) == (5, 5)


def test_words_from_before_a_pause_prove_nothing():
    currency = at_version(3)
    currency.table(3, 1.0)
    for name in ("a", "b", "c"):
        currency.heard(name, 1.0)
    currency.resumed()
    assert not currency.ready(1.5)


def test_changes_are_taken_in_order_and_gaps_are_asked_for_now_and_then():
    currency = at_version(1)
    currency.offer(change(2), 0.0)
    currency.offer(change(5), 0.0)
    assert currency.missing(0.1) is None, "it may still be on its way"
    assert currency.missing(1.0) == range(3, 5)
    assert currency.missing(1.1) is None, "asked a moment ago"
    taken = []
    for version in (4, 3):
        currency.offer(change(version), 1.2)
    while item := currency.take():
        taken.append(item.version)
        currency.applied(item.version, 1.3)
    assert taken == [2, 3, 4, 5]
    assert currency.missing(9.0) is None


def test_the_confirmations_of_live_vms_are_counted():
    ack = SpreadAck(4, 0.0)
    for name, version in (("a", 4), ("b", 3), ("c", 5), ("gone", 4)):
        ack.heard(name, version)
    assert ack.count(["a", "b", "c"]) == (2, 3)
    assert ack.unconfirmed(["a", "b", "c"]) == ["b"]
