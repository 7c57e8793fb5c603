"""When a VM may know that it is current, and how changes come in order."""

import pytest

from ...fleet.base import ConfigurationItem
from ...fleet.version_tracker import CONFIRMATION_TTL, SpreadTracker, VersionTracker


def change(version):
    return ConfigurationItem(version, b"c%d" % version)


def at_version(version, now=0.0, live=18, expected=18):
    version_tracker = VersionTracker(now)
    version_tracker.set_fleet_size(live, expected)
    version_tracker.record_peer_version(version, now)
    version_tracker.record_applied(version, now)
    return version_tracker


def test_a_new_vm_is_not_ready_until_the_table_or_enough_peers_were_heard():
    version_tracker = VersionTracker(0.0)
    version_tracker.set_fleet_size(18, 18)
    assert "No configuration" in version_tracker.why_not_ready(0.0)
    version_tracker.add_change(change(1), 0.0)
    assert "fetching" in version_tracker.why_not_ready(0.0)
    version_tracker.record_applied(1, 0.0)
    assert not version_tracker.ready(0.0)
    for name in ("a", "b"):
        version_tracker.record_confirmation(name, 0.0)
    assert "2 VMs of 3" in version_tracker.why_not_ready(0.0)
    version_tracker.record_confirmation("c", 0.0)
    assert version_tracker.ready(0.0)

    fresh = VersionTracker(0.0)
    fresh.record_table_version(4, 0.0)
    fresh.record_applied(4, 0.1)
    assert fresh.ready(1.0)


def test_a_cut_off_vm_stops_being_ready_and_says_why():
    version_tracker = at_version(3)
    version_tracker.record_table_version(3, 0.0)
    version_tracker.set_fleet_size(1, 18)
    assert version_tracker.ready(CONFIRMATION_TTL)
    assert "1 of 18" in version_tracker.why_not_ready(CONFIRMATION_TTL + 0.1)


@pytest.mark.parametrize(("live", "ready"), [(9, False), (10, True), (12, True)])
def test_with_the_store_down_only_a_majority_may_go_on(live, ready):
    version_tracker = at_version(3, live=live)
    for name in ("a", "b", "c"):
        version_tracker.record_confirmation(name, 10.0)
    assert version_tracker.ready(10.0) is ready


def test_a_newer_version_heard_anywhere_ends_readiness_until_it_is_in_force():
    version_tracker = at_version(3)
    version_tracker.record_table_version(3, 0.0)
    version_tracker.record_peer_version(4, 0.1)
    assert not version_tracker.ready(0.1)
    version_tracker.record_applied(4, 0.2)
    assert version_tracker.ready(0.2)


def test_an_older_version_is_never_applied():
    version_tracker = at_version(5)
    assert not version_tracker.record_applied(4, 1.0)
    assert not version_tracker.add_change(change(4), 1.0)
    version_tracker.record_table_version(4, 1.0)
    assert (version_tracker.in_force, version_tracker.newest) == (5, 5)


def test_words_from_before_a_pause_prove_nothing():
    version_tracker = at_version(3)
    version_tracker.record_table_version(3, 1.0)
    for name in ("a", "b", "c"):
        version_tracker.record_confirmation(name, 1.0)
    version_tracker.discard_confirmations()
    assert not version_tracker.ready(1.5)


def test_changes_are_taken_in_order_and_gaps_are_asked_for_now_and_then():
    version_tracker = at_version(1)
    version_tracker.add_change(change(2), 0.0)
    version_tracker.add_change(change(5), 0.0)
    assert version_tracker.next_fetch(0.1) is None, "it may still be on its way"
    assert version_tracker.next_fetch(1.0) == range(3, 5)
    assert version_tracker.next_fetch(1.1) is None, "asked a moment ago"
    taken = []
    for version in (4, 3):
        version_tracker.add_change(change(version), 1.2)
    while item := version_tracker.next_change():
        taken.append(item.version)
        version_tracker.record_applied(item.version, 1.3)
    assert taken == [2, 3, 4, 5]
    assert version_tracker.next_fetch(9.0) is None


def test_the_confirmations_of_live_vms_are_counted():
    ack = SpreadTracker(4, 0.0)
    for name, version in (("a", 4), ("b", 3), ("c", 5), ("gone", 4)):
        ack.record_version(name, version)
    assert ack.count(["a", "b", "c"]) == (2, 3)
    assert ack.unconfirmed(["a", "b", "c"]) == ["b"]
