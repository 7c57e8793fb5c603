"""What daemons tell each other of calls: in small data centres all, in large ones nothing."""

from ...balancing.load import UpstreamLoad
from ...relay.members import MAX_SHARING_PEERS, Members
from ...relay.messages import CallFailed, CallSent, Hello, LoadReport
from ...relay.sharing import Sharing
from ...relay.upstreams import UpstreamList
from ...timers import ManualClock
from .fakes import decision_log, record


def fleet(peers):
    """Return the sharing of one daemon with so many peers here and one elsewhere, and its wire."""
    log, _ = decision_log()
    known = UpstreamList("here", ManualClock(5.0), log, lambda u: None)
    known.update([record("u"), record("far", zone="there")], [], 1)
    sharing, sent = Sharing(known, ManualClock(5.0)), []
    sharing.channel.send = lambda message, to: sent.extend((a, message) for a in to)
    members = Members(Hello("me", "me:1", "here", 1.0), None, log, None, lambda *a: None, True)
    for number in range(peers):
        members.add_peer(Hello(f"p{number}", f"p{number}:1", "here", 1.0))
    members.add_peer(Hello("other", "other:1", "there", 1.0))
    sharing.members = members
    return sharing, known, sent


def test_calls_and_loads_of_near_upstreams_are_told_to_the_peers_here():
    sharing, known, sent = fleet(3)
    sharing.record_send(known.by_id["u"])
    sharing.record_load_report(known.by_id["u"], UpstreamLoad(1, 0, 2, 1.0))
    assert {address for address, _ in sent} == {"p0:1", "p1:1", "p2:1"} and len(sent) == 6
    sharing.record_send(known.by_id["far"])
    assert len(sent) == 6


def test_in_a_large_data_centre_nobody_is_told_of_calls_but_all_of_failures():
    sharing, known, sent = fleet(MAX_SHARING_PEERS + 1)
    sharing.record_send(known.by_id["u"])
    assert sent == []
    sharing.record_failure(known.by_id["u"])
    assert len(sent) == MAX_SHARING_PEERS + 2


def test_what_others_say_counts_like_what_was_seen_here():
    sharing, known, _ = fleet(1)
    stats = known.by_id["u"].stats
    sharing._handle(LoadReport("u", UpstreamLoad(1, 0, 2, 7.0)))
    sharing._handle(CallSent("u"))
    assert stats.load.slowdown == 7.0 and stats.sent_since_report == 1
    before = stats.failure_rate(5.0)
    sharing._handle(CallFailed("u"))
    assert stats.failure_rate(5.0) > before
    sharing._handle(CallSent("unknown"))


def test_what_others_say_of_an_earlier_lifetime_does_not_count():
    sharing, known, sent = fleet(1)
    known.update([record("u", born=1000)], [], 2)
    known.update([record("u", born=2000)], [], 3)
    stats = known.by_id["u"].stats
    for late in ("u", "u@1000"):
        sharing._handle(LoadReport(late, UpstreamLoad(1, 0, 2, 7.0)))
        sharing._handle(CallFailed(late))
    assert stats.load is None and stats.failure_rate(5.0) < 0.05
    sharing._handle(LoadReport("u@2000", UpstreamLoad(1, 0, 2, 7.0)))
    assert stats.load.slowdown == 7.0
    sharing.record_send(known.by_id["u"])
    assert sent[-1][1].upstream == "u@2000"
