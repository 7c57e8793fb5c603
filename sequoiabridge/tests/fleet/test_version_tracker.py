"""When a VM is known to have the newest configuration, and the order of changes."""

import pytest

from ...fleet.base import ConfigurationItem
from ...fleet.version_tracker import CONFIRMATION_TTL, SpreadTracker, VersionTracker


def change(version):
    return ConfigurationItem(version, b"c%d" % version)


def tracker_at(version, now=0.0, live=18, expected=18):
    tracker = VersionTracker(now)
    tracker.set_fleet_size(live, expected)
    tracker.record_peer_version(version, now)
    tracker.record_applied(version, now)
    return tracker


def test_a_new_vm_is_not_ready_until_the_table_or_enough_peers_confirm_its_version():
    tracker = VersionTracker(0.0)
    tracker.set_fleet_size(18, 18)
    assert "No configuration" in tracker.why_not_ready(0.0)
    tracker.add_change(change(1), 0.0)
    assert "fetching" in tracker.why_not_ready(0.0)
    tracker.record_applied(1, 0.0)
    assert not tracker.ready(0.0)
    for name in ("a", "b"):
        tracker.record_confirmation(name, 0.0)
    assert "2 VMs of 3" in tracker.why_not_ready(0.0)
    tracker.record_confirmation("c", 0.0)
    assert tracker.ready(0.0)

    fresh = VersionTracker(0.0)
    fresh.record_table_version(4, 0.0)
    fresh.record_applied(4, 0.1)
    assert fresh.ready(1.0)


def test_an_isolated_vm_stops_being_ready_and_gives_the_reason():
    tracker = tracker_at(3)
    tracker.record_table_version(3, 0.0)
    tracker.set_fleet_size(1, 18)
    assert tracker.ready(CONFIRMATION_TTL)
    assert "1 of 18" in tracker.why_not_ready(CONFIRMATION_TTL + 0.1)


@pytest.mark.parametrize(("live", "ready"), [(9, False), (10, True), (12, True)])
def test_while_the_table_is_unavailable_only_a_majority_stays_ready(live, ready):
    tracker = tracker_at(3, live=live)
    for name in ("a", "b", "c"):
        tracker.record_confirmation(name, 10.0)
    assert tracker.ready(10.0) is ready


def test_a_newer_version_at_any_vm_ends_readiness_until_it_is_in_force():
    tracker = tracker_at(3)
    tracker.record_table_version(3, 0.0)
    tracker.record_peer_version(4, 0.1)
    assert not tracker.ready(0.1)
    tracker.record_applied(4, 0.2)
    assert tracker.ready(0.2)


def test_an_older_version_is_never_applied():
    tracker = tracker_at(5)
    assert not tracker.record_applied(4, 1.0)
    assert not tracker.add_change(change(4), 1.0)
    tracker.record_table_version(4, 1.0)
    assert (tracker.in_force, tracker.newest) == (5, 5)


def test_confirmations_from_before_a_pause_are_discarded():
    tracker = tracker_at(3)
    tracker.record_table_version(3, 1.0)
    for name in ("a", "b", "c"):
        tracker.record_confirmation(name, 1.0)
    tracker.discard_confirmations()
    assert not tracker.ready(1.5)


def test_changes_are_applied_in_order_and_gaps_are_requested_periodically():
    tracker = tracker_at(1)
    tracker.add_change(change(2), 0.0)
    tracker.add_change(change(5), 0.0)
    assert tracker.next_fetch(0.1) is None, "the change may still arrive"
    assert tracker.next_fetch(1.0) == range(3, 5)
    assert tracker.next_fetch(1.1) is None, "requested less than FETCH_INTERVAL ago"
    applied = []
    for version in (4, 3):
        tracker.add_change(change(version), 1.2)
    while item := tracker.next_change():
        applied.append(item.version)
        tracker.record_applied(item.version, 1.3)
    assert applied == [2, 3, 4, 5]
    assert tracker.next_fetch(9.0) is None


def test_the_confirmations_of_live_vms_are_counted():
    tracker = SpreadTracker(4, 0.0)
    for name, version in (("a", 4), ("b", 3), ("c", 5), ("gone", 4)):
        tracker.record_version(name, version)
    assert tracker.count(["a", "b", "c"]) == (2, 3)
    assert tracker.unconfirmed(["a", "b", "c"]) == ["b"]
