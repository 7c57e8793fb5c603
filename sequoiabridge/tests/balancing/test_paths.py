"""Tests of the ways by which connections to upstreams are opened."""

from random import Random

import pytest

from ...balancing.path_peers import MAX_PEERS_ASKED, UNHELPFUL_SECONDS, PathPeer, PathPeers
from ...balancing.paths import (
    EVIDENCE_SECONDS,
    MAX_ASK_BACKOFF,
    MIN_LOST,
    MIN_UNREACHABLE,
    FailedAttempt,
    PathTable,
)

ADDRESSES = [f"10.0.0.{number}:80" for number in range(20)]


def make_table(peer_count=3, listed=ADDRESSES):
    """Return a table with peers and the list of its events."""
    peers = PathPeers(Random(1))
    peers.update(PathPeer(f"vm-{number}", f"10.1.0.{number}:1") for number in range(peer_count))
    events = []
    return PathTable(peers, lambda: listed, lambda event, **fields: events.append(event)), events


def lose(table, address, at=1.0):
    """Let the direct path to an address fail while a peer reaches it."""
    table.record_direct_failure(address, at, "No connection.", at + 0.1)
    table.record_through_peer(address, table.peers.by_vm["vm-0"], at + 0.2)


def fail_all_ways(table, address, at, refused=False):
    """Let all ways to an address fail."""
    table.record_direct_failure(address, at, "No connection.", at + 0.1)
    table.record_unreachable(address, FailedAttempt(at, True, True, refused), at + 0.3)


def vms(ways):
    """Return the VMs of some ways, "" for the direct one."""
    return [way.peer.vm if way.peer else "" for way in ways]


def test_the_direct_way_comes_first_and_peers_are_asked_if_it_fails():
    table, _ = make_table(8)
    first, *peers, last = vms(table.ways(ADDRESSES[0], 1.0))
    assert (first, last) == ("", "")
    assert len(set(peers)) == len(peers) == MAX_PEERS_ASKED


def test_peers_come_first_once_one_has_reached_what_this_vm_cannot():
    table, _ = make_table()
    lose(table, ADDRESSES[0])
    assert vms(table.ways(ADDRESSES[0], 2.0))[0] != ""
    assert vms(table.ways(ADDRESSES[1], 2.0))[0] == ""
    table.record_direct(ADDRESSES[0], 3.0)
    assert vms(table.ways(ADDRESSES[0], 3.1))[0] == ""


def test_all_paths_count_as_lost_after_some_and_are_back_with_the_first():
    table, events = make_table()
    for address in ADDRESSES[: MIN_LOST - 1]:
        lose(table, address)
    assert not table.is_lost(ADDRESSES[9])
    lose(table, ADDRESSES[MIN_LOST])
    assert table.is_lost(ADDRESSES[9])
    table.record_direct(ADDRESSES[9], 2.0)
    assert not table.is_lost(ADDRESSES[10]) and table.is_lost(ADDRESSES[0])
    assert events == ["path-lost"] * MIN_LOST + ["paths-lost", "paths-back"]


def test_the_log_and_the_dump_say_which_path_was_lost_when_and_by_which_evidence():
    table, _ = make_table()
    events = []
    table.on_change = lambda event, **fields: events.append((event, fields))
    address = ADDRESSES[0]
    table.record_direct_failure(address, 1.0, "No connection.", 1.1)
    table.record_direct_failure(address, 1.4, "No connection.", 1.5)
    failing = table.dump()["failing"][address]
    assert failing == {
        "since": 1.0,
        "why": "No connection.",
        "reached_by": "",
        "no_way_at": None,
    }
    for vm in ("vm-1", "vm-2"):
        table.record_through_peer(address, table.peers.by_vm[vm], 1.6)
    assert table.dump()["failing"][address]["reached_by"] == "vm-2"
    table.record_direct(address, 3.0)
    assert events == [
        (
            "path-lost",
            {"address": address, "peer": "vm-1", "failing_for": 0.6, "why": "No connection."},
        ),
        ("path-back", {"address": address, "after": 2.0}),
    ]
    assert table.dump()["failing"] == {}


def test_paths_do_not_count_as_lost_while_an_upstream_answers_directly():
    table, _ = make_table()
    table.record_answer(ADDRESSES[9], True, 5.0)
    for address in ADDRESSES[:8]:
        lose(table, address, at=4.0)
    assert table.lost_since is None


def test_crashed_upstreams_are_not_taken_for_lost_paths():
    table, events = make_table()
    for address in ADDRESSES[:8]:
        fail_all_ways(table, address, 1.0, refused=True)
    table.record_direct(ADDRESSES[9], 1.5)
    assert not table.is_lost(ADDRESSES[10])
    assert not table.is_isolated(1.6) and events == []


def test_peers_are_not_asked_again_and_again_for_an_upstream_that_is_down():
    table, _ = make_table()
    asked, now = 0, 1.0
    while now < 21.0:
        if len(table.ways(ADDRESSES[0], now)) > 2:
            asked += 1
            fail_all_ways(table, ADDRESSES[0], now)
        now += 0.1
    assert 20 / MAX_ASK_BACKOFF <= asked <= 2 * 20 / MAX_ASK_BACKOFF + 4


@pytest.mark.parametrize(("count", "isolated"), [(MIN_UNREACHABLE - 1, False), (9, True)])
def test_a_vm_is_isolated_when_no_way_leads_to_many_upstreams(count, isolated):
    table, events = make_table()
    for address in ADDRESSES[:count]:
        fail_all_ways(table, address, 1.0)
    assert table.is_isolated(1.5) == isolated
    assert events == ["no-path"] * isolated
    assert not table.is_isolated(1.1 + EVIDENCE_SECONDS)


def test_a_vm_whose_peers_all_stop_knows_that_it_is_isolated():
    # Calls waited for their whole time, since no peer had been asked.
    table, _ = make_table(1)
    table.peers.record_stop("vm-0", True)
    for address in ADDRESSES[:MIN_UNREACHABLE]:
        table.record_direct_failure(address, 1.0, "No connection.", 1.1)
        table.record_unreachable(address, FailedAttempt(1.0), 1.3)
    assert table.is_isolated(1.5)


@pytest.mark.parametrize("by_peer", [True, False])
def test_a_vm_is_not_isolated_once_any_way_works(by_peer):
    table, _ = make_table()
    for address in ADDRESSES[:10]:
        fail_all_ways(table, address, 1.0)
    if by_peer:
        table.record_through_peer(ADDRESSES[11], table.peers.by_vm["vm-1"], 1.2)
    else:
        table.record_answer(ADDRESSES[11], False, 1.2)
    assert not table.is_isolated(1.5)


def test_other_upstreams_are_checked_when_some_are_out_of_reach():
    # Crashed upstreams alone made a VM without other calls refuse all.
    table, _ = make_table()
    for address in ADDRESSES[:MIN_LOST]:
        fail_all_ways(table, address, 1.0)
    due = table.due_checks(1.4, 20)
    assert set(due) >= set(ADDRESSES[MIN_LOST:])
    table.record_direct(ADDRESSES[5], 1.5)
    assert not set(table.due_checks(1.6, 20)) & set(ADDRESSES[MIN_LOST:])


def test_a_service_is_out_of_reach_only_while_no_way_leads_to_any_of_its_upstreams():
    table, _ = make_table()
    service = ADDRESSES[:3]
    for address in service[:2]:
        fail_all_ways(table, address, 1.0)
    assert not table.are_out_of_reach(service, 1.5)
    fail_all_ways(table, service[2], 1.2)
    assert table.are_out_of_reach(service, 1.5)
    assert not table.are_out_of_reach([], 1.5)
    table.record_answer(service[0], False, 1.6)
    assert not table.are_out_of_reach(service, 1.7)


def test_an_upstream_that_refuses_connections_is_tried_again_by_each_call():
    # It may have started again meanwhile.
    table, _ = make_table()
    fail_all_ways(table, ADDRESSES[0], 1.0, refused=True)
    assert not table.are_out_of_reach(ADDRESSES[:1], 1.1)


def test_open_connections_that_were_silent_since_the_path_failed_are_not_reused():
    table, _ = make_table()
    assert table.may_reuse_direct(ADDRESSES[0], 0.5)
    lose(table, ADDRESSES[0], at=1.0)
    assert not table.may_reuse_direct(ADDRESSES[0], 0.9)
    assert table.may_reuse_direct(ADDRESSES[0], 1.1)
    assert table.may_reuse_direct(ADDRESSES[1], 0.9)


def test_connections_through_a_peer_are_reused_until_the_direct_path_is_back_or_the_peer_stops():
    table, _ = make_table()
    lose(table, ADDRESSES[0])
    assert table.may_reuse_through(ADDRESSES[0], "vm-0")
    table.peers.record_stop("vm-0", True)
    assert not table.may_reuse_through(ADDRESSES[0], "vm-0")
    table.peers.record_stop("vm-0", False)
    table.record_direct(ADDRESSES[0], 3.0)
    assert not table.may_reuse_through(ADDRESSES[0], "vm-0")


def test_peers_that_do_not_help_are_asked_last_for_a_while():
    table, _ = make_table(6)
    for vm in ("vm-0", "vm-1", "vm-2"):
        table.record_peer_failure(table.peers.by_vm[vm], 1.0)
    first = {peer.vm for peer in table.peers.to_ask(1.5)[:3]}
    assert first == {"vm-3", "vm-4", "vm-5"}
    later = [table.peers.to_ask(1.1 + UNHELPFUL_SECONDS)[0].vm for _ in range(60)]
    assert set(later) == {f"vm-{number}" for number in range(6)}


def test_peers_are_asked_again_at_once_if_those_asked_had_no_path_themselves():
    # With most of a fleet cut off, one unlucky choice of peers kept the others from being asked.
    table, _ = make_table(8)
    table.record_unreachable(ADDRESSES[0], FailedAttempt(1.0, peers_asked=True), 1.1)
    assert len(table.ways(ADDRESSES[0], 1.2)) > 2


def test_peers_are_asked_again_for_all_upstreams_once_one_is_found_that_can_help():
    # A peer without paths that did not know it yet kept the others from being asked for 2 s, and
    # the upstream counted as crashed meanwhile.
    table, _ = make_table()
    fail_all_ways(table, ADDRESSES[0], 1.0, refused=True)
    assert len(table.ways(ADDRESSES[0], 1.35)) == 2
    table.record_through_peer(ADDRESSES[1], table.peers.by_vm["vm-2"], 1.35)
    assert len(table.ways(ADDRESSES[0], 1.35)) > 2
    fail_all_ways(table, ADDRESSES[0], 1.4, refused=True)
    table.record_through_peer(ADDRESSES[1], table.peers.by_vm["vm-2"], 1.71)
    assert len(table.ways(ADDRESSES[0], 1.72)) == 2


def test_peers_that_stop_are_not_asked():
    table, _ = make_table(2)
    table.peers.record_stop("vm-1", True)
    assert [peer.vm for peer in table.peers.to_ask(1.0)] == ["vm-0"]


def test_what_is_known_of_a_peer_is_kept_until_its_address_changes():
    peers = PathPeers(Random(1))
    peers.update([PathPeer("a", "1.1.1.1:1")])
    peers.record_stop("a", True)
    peers.update([PathPeer("a", "1.1.1.1:1"), PathPeer("b", "1.1.1.2:1")])
    assert [peer.vm for peer in peers.to_ask(0.0)] == ["b"]
    peers.update([PathPeer("a", "1.1.1.9:1")])
    assert [peer.vm for peer in peers.to_ask(0.0)] == ["a"]


def test_addresses_that_are_listed_no_more_are_forgotten():
    listed = list(ADDRESSES)
    table, _ = make_table(listed=listed)
    lose(table, ADDRESSES[0])
    listed.remove(ADDRESSES[0])
    table.retain_listed()
    assert table.by_address == {} and table.due_checks(9.0, 9) == []
