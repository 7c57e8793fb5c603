"""Who follows the store, and how the others keep up: real followers, datagrams kept in a list."""

import curio

from ...exceptions import StoreUnavailable
from ...relay.feeds import LONG_POLL_TIMEOUT, SENTINEL_POLL_TIMEOUT, Follower
from ...relay.members import Members
from ...relay.messages import Heartbeat, Hello
from ...relay.watchers import (
    FAR_LOST,
    HEARTBEAT_TIMEOUT,
    MOST_TRYING,
    OVERDUE,
    SENTINEL_FEED,
    SURE,
    Watchers,
    rank_of,
)
from ...store.rows import Rows, StoredRow
from ...timers import ManualClock
from .fakes import decision_log
from .test_feeds import ScriptedFeed

LINK = 100.0
FEED = SENTINEL_FEED


def hello(vm, data_centre="here", link=LINK):
    return Hello(vm, f"{vm}:1", data_centre, link)


VMS = sorted(("vm-a", "vm-b", "vm-c", "vm-d"), key=lambda vm: rank_of(hello(vm)))


class Wire:
    """Takes what would be sent."""

    def __init__(self):
        self.sent = []

    def send(self, message, addresses):
        self.sent += [(address, message) for address in addresses]


class Reader:
    """Gives rows as another daemon would."""

    own_address = "me:1"

    def __init__(self, rows):
        self.rows = rows
        self.reads = []

    async def read(self, address, feed, after):
        self.reads.append((address, feed))
        if self.rows is None:
            raise StoreUnavailable("gone")
        return self.rows


def watching(vm, clock, rows=None, first_start=False):
    """Return the watchers of one VM in a fleet of four, its wire and what it took in."""
    log, _ = decision_log(clock)
    me = hello(vm)
    members = Members(me, None, log, None, lambda *a: None, True)
    for other in VMS:
        members.add_peer(hello(other))
    members.add_peer(hello("far", "there"))
    members.joined = True
    taken = []
    follower = Follower(
        ScriptedFeed(), clock, None, log, taken.append, taken.append, lambda: None, lambda: None
    )
    wire = Wire()
    made = Watchers(members, wire, {FEED: follower}, Reader(rows), log, clock, first_start)
    return made, wire, taken, follower


def heartbeat(vm, version=5, data_centre="here"):
    return Heartbeat(vm, data_centre, f"{vm}:2", {FEED: version}, LINK)


def rows(version):
    return Rows([StoredRow("t", "", "k", b"", version)], version)


def step(watchers):
    async def main():
        await watchers._decide()
        await watchers._catch_up()

    curio.run(main)


def test_the_first_two_of_a_data_centre_follow_the_store_and_the_others_hear_from_them():
    for place, vm in enumerate(VMS):
        clock = ManualClock(10.0)
        made, _, _, follower = watching(vm, clock, rows(5))
        clock.advance(1.0)
        for other in VMS[:2]:
            if other != vm:
                made.handle_heartbeat(heartbeat(other))
        step(made)
        assert follower.active == (place < 2), vm


def test_those_with_the_widest_links_follow_the_store_first():
    wide, narrow = hello(VMS[3], link=100.0), hello(VMS[0], link=5.0)
    assert rank_of(wide) < rank_of(narrow)
    assert sorted([narrow, hello(VMS[1], link=5.0), wide], key=rank_of)[0] is wide


def test_another_one_follows_when_a_watcher_falls_silent():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[2], clock, rows(5))
    made.handle_heartbeat(heartbeat(VMS[0]))
    made.handle_heartbeat(heartbeat(VMS[1]))
    step(made)
    assert not follower.active
    clock.advance(HEARTBEAT_TIMEOUT - 0.1)
    made.handle_heartbeat(heartbeat(VMS[0]))
    clock.advance(0.2)
    step(made)
    assert not follower.active, "its heartbeat may still lie unread"
    clock.advance(SURE)
    made.handle_heartbeat(heartbeat(VMS[0]))
    step(made)
    assert follower.active


def test_what_only_others_know_is_read_from_them_and_an_older_word_is_not():
    clock = ManualClock(10.0)
    made, _, taken, follower = watching(VMS[3], clock, rows(7))
    made.handle_heartbeat(heartbeat(VMS[0], 7))
    step(made)
    assert made.reader.reads == [(f"{VMS[0]}:2", FEED)] and follower.version == 7
    made.handle_heartbeat(heartbeat(VMS[0], 6))
    step(made)
    assert len(made.reader.reads) == 1 and len(taken) == 1


def test_a_watcher_whose_own_question_hangs_reads_from_another_after_a_while():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[0], clock, rows(9))
    follower.apply_snapshot(rows(4))
    made.handle_heartbeat(heartbeat(VMS[1], 9))
    step(made)
    assert follower.active and follower.version == 4
    clock.advance(0.5)
    made.handle_heartbeat(heartbeat(VMS[1], 9))
    step(made)
    assert follower.version == 9


def test_only_what_comes_from_the_store_itself_is_told_on():
    clock = ManualClock(10.0)
    made, wire, _, follower = watching(VMS[0], clock)
    made.send_heartbeat()
    assert wire.sent == [], "nothing is known yet"
    clock.advance(1.0)
    step(made)
    follower.apply_snapshot(rows(4))
    made.send_heartbeat()
    assert {address for address, _ in wire.sent} == {f"{vm}:1" for vm in VMS[1:]}
    follower.store_unavailable = True
    wire.sent.clear()
    made.send_heartbeat()
    assert len(wire.sent) == len(VMS) - 1
    assert all(message.versions == {} for _, message in wire.sent), "only that it is lost"


def test_other_data_centres_hear_from_the_first_watcher_alone_and_less_often():
    for vm, expected in ((VMS[0], 2), (VMS[1], 0)):
        clock = ManualClock(10.0)
        made, wire, _, follower = watching(vm, clock)
        made.handle_heartbeat(heartbeat(VMS[0])) if vm != VMS[0] else None
        curio.run(follower.set_active, True)
        follower.apply_snapshot(rows(5))
        for _ in range(8):
            made.send_heartbeat()
        assert sum(address == "far:1" for address, _ in wire.sent) == expected


def test_a_daemon_that_hears_from_far_watchers_only_is_current_and_follows_by_itself():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[3], clock, rows(5))
    clock.advance(1.0)
    made.handle_heartbeat(heartbeat("far", 5, "there"))
    assert made.is_current
    step(made)
    clock.advance(SURE)
    step(made)
    assert follower.active
    clock.advance(FAR_LOST + 0.1)
    follower.store_unavailable = True
    assert not made.is_current


def test_at_the_first_start_of_a_fleet_the_others_wait_for_the_first_two():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[3], clock, first_start=True)
    step(made)
    assert not follower.active
    clock.advance(2.1)
    step(made)
    assert follower.active, "nobody was heard, so it reads the store itself"


def test_a_daemon_that_cannot_learn_of_others_reads_the_store_at_once():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[3], clock, first_start=True)
    made.members.joined, made.members.join_failed = False, True
    step(made)
    assert follower.active


def test_a_peer_that_does_not_answer_is_not_asked_again_until_heard():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[3], clock, rows=None)
    made.handle_heartbeat(heartbeat(VMS[0], 7))
    step(made)
    step(made)
    assert len(made.reader.reads) == 1 and follower.version is None


def test_a_daemon_that_was_held_up_reads_its_beacons_before_it_follows_the_store():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[2], clock, rows(5))
    for vm in VMS[:2]:
        made.handle_heartbeat(heartbeat(vm))
    step(made)
    clock.advance(2.0)
    step(made)
    for vm in VMS[:2]:
        made.handle_heartbeat(heartbeat(vm))
    clock.advance(SURE)
    step(made)
    assert not follower.active


def test_a_daemon_that_misses_the_watchers_greets_them_again():
    clock = ManualClock(10.0)
    made, wire, _, _ = watching(VMS[3], clock, rows(5))
    clock.advance(1.0)
    step(made)
    greeted = {address for address, message in wire.sent if isinstance(message, Hello)}
    assert greeted == {f"{vm}:1" for vm in VMS[:3]}


def waiting(follower, at):
    """Let a question wait in the store since `at`; return when those taken back were asked."""
    taken_back = []

    async def repoll():
        taken_back.append(follower.poll_sent_at)
        follower.poll_sent_at = None

    follower.poll_sent_at, follower.repoll = at, repoll
    return taken_back


def verified(made):
    async def main():
        await made._decide()
        await made._verify()

    curio.run(main)


def test_the_first_watcher_asks_often_so_that_a_silent_store_is_noticed():
    for place, vm in enumerate(VMS[:2]):
        clock = ManualClock(10.0)
        made, _, _, follower = watching(vm, clock, rows(5))
        if place:
            made.handle_heartbeat(heartbeat(VMS[0]))
        verified(made)
        assert follower.poll_timeout == (LONG_POLL_TIMEOUT if place else SENTINEL_POLL_TIMEOUT)


def test_two_data_centres_notice_a_silent_store_and_other_feeds_wait_long():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[0], clock, rows(5))
    made.followers["other"], made.followers[FEED] = follower, watching(VMS[0], clock)[3]
    for number, expected in enumerate(
        (SENTINEL_POLL_TIMEOUT, SENTINEL_POLL_TIMEOUT, LONG_POLL_TIMEOUT)
    ):
        if number:
            made.handle_heartbeat(
                Heartbeat(f"w{number}", f"there-{number}", "w:2", {FEED: 5}, 2 * LINK)
            )
        verified(made)
        assert made.followers[FEED].poll_timeout == expected
        assert follower.poll_timeout == LONG_POLL_TIMEOUT


def test_the_second_watcher_asks_anew_when_it_becomes_the_first():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[1], clock, rows(5))
    made.handle_heartbeat(heartbeat(VMS[0]))
    verified(made)
    taken_back = waiting(follower, clock.now())
    clock.advance(SENTINEL_POLL_TIMEOUT + OVERDUE + 0.1)
    verified(made)
    assert taken_back == [10.0]


def test_questions_that_wait_are_asked_anew_once_when_a_watcher_nearby_loses_the_store():
    clock = ManualClock(10.0)
    made, _, _, follower = watching(VMS[1], clock, rows(5))
    made.handle_heartbeat(heartbeat(VMS[0]))
    verified(made)
    taken_back = waiting(follower, clock.now())
    clock.advance(0.3)
    for _ in range(3):
        made.handle_heartbeat(Heartbeat(VMS[0], "here", "a:2", {}, LINK))
        verified(made)
    assert taken_back == [10.0]
    waiting(follower, clock.now() + 0.1)
    made.handle_heartbeat(Heartbeat(VMS[0], "here", "a:2", {}, LINK))
    verified(made)
    assert follower.poll_sent_at is not None, "the store has answered since"


def test_a_watcher_that_the_store_does_not_answer_says_so_and_is_not_current():
    clock = ManualClock(10.0)
    made, wire, _, follower = watching(VMS[0], clock, rows(5))
    curio.run(follower.set_active, True)
    follower.apply_snapshot(rows(4))
    follower.store_unavailable = True
    for _ in range(8):
        made.send_heartbeat()
    assert {message.versions == {} for _, message in wire.sent} == {True}
    assert sum(address == "far:1" for address, _ in wire.sent) == 2
    made.handle_heartbeat(Heartbeat(VMS[1], "here", "b:2", {}, LINK))
    assert not made.is_current


def test_few_of_a_data_centre_ask_a_store_that_answers_nobody():
    for place, vm in enumerate(VMS):
        clock = ManualClock(10.0)
        made, _, _, follower = watching(vm, clock, rows(5))
        follower.apply_snapshot(rows(4))
        for number in range(MOST_TRYING):
            first = hello(f"wide-{number}", link=2 * LINK)
            made.handle_heartbeat(Heartbeat(first.vm, "here", "w:2", {}, first.link))
        made.members.peers.clear()
        for other in range(MOST_TRYING):
            made.members.add_peer(hello(f"wide-{other}", link=2 * LINK))
        clock.advance(SURE)
        step(made)
        assert not follower.active, place


def test_a_watcher_tells_the_others_at_once_when_it_has_read_the_store_for_the_first_time():
    made, wire, _, follower = watching(VMS[0], ManualClock(10.0))
    curio.run(follower.set_active, True)
    made._announce()
    assert wire.sent == []
    follower.apply_snapshot(rows(4))
    made._announce()
    made._announce()
    assert len(wire.sent) == len(VMS) - 1
