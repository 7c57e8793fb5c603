"""Admission: deadline order, early refusal, caller shares, weights and the adaptive limit."""

from ...outcome import Reason
from ...policy.admission import AdmissionQueue, Ticket, Verdict
from ...policy.concurrency import ConcurrencyLimit


def make(limit=2, queue_limit=10, caller_share=0.5):
    return AdmissionQueue(ConcurrencyLimit(limit, limit, limit), queue_limit, caller_share)


def fill(queue, count, caller="a", now=0.0, deadline=10.0):
    tickets = [Ticket(caller, deadline, now) for _ in range(count)]
    return tickets, [queue.offer(t, now) for t in tickets]


def test_waiting_calls_are_admitted_by_deadline():
    queue = make(1)
    (first,), _ = fill(queue, 1)
    late, early = Ticket("a", 9.0, 0.0), Ticket("b", 5.0, 0.1)
    assert queue.offer(late, 0.0).verdict is queue.offer(early, 0.1).verdict is Verdict.QUEUED
    assert queue.release(first, 0.2, 0.2, True) == [early]
    assert queue.release(early, 0.4, 0.2, True) == [late]


def test_a_deadline_that_cannot_be_met_is_refused_on_arrival_and_in_the_queue():
    queue = make(1)
    running, now = Ticket("a", 1e9, 0.0), 0.0
    for _ in range(40):
        queue.offer(running, now)
        now += 0.1
        queue.release(running, now, 0.1, True)
    decision = queue.offer(Ticket("a", now + 0.05, now), now)
    assert decision.reason is Reason.CANNOT_MEET_WINDOW and decision.retry_after > 0
    queue.offer(running, now)
    waiting = Ticket("b", now + 0.3, now)
    assert queue.offer(waiting, now).verdict is Verdict.QUEUED
    assert queue.expire(now + 0.1) == []
    assert queue.expire(queue.next_expiry(now) + 0.06) == [waiting]
    assert queue.release(running, now + 0.3, 0.3, True) == []


def test_a_latency_estimate_that_refuses_every_call_decays():
    queue = make(1)
    (slow,), _ = fill(queue, 1, deadline=1e9)
    queue.release(slow, 60.0, 60.0, True)
    assert queue.offer(Ticket("a", 61.0, 60.0), 60.0).verdict is Verdict.REFUSED
    assert queue.offer(Ticket("a", 91.0, 90.0), 90.0).verdict is Verdict.ADMITTED


def test_a_caller_is_limited_to_its_share_only_while_others_wait():
    queue = make(4, 10, 0.5)
    greedy, _ = fill(queue, 4, "greedy")
    _, more = fill(queue, 10, "greedy")
    assert all(d.verdict is Verdict.QUEUED for d in more)
    queue = make(4, 10, 0.5)
    greedy, _ = fill(queue, 4, "greedy")
    fill(queue, 2, "modest", deadline=11.0)
    _, more = fill(queue, 8, "greedy", deadline=9.0)
    assert [d.reason for d in more].count(Reason.CALLER_SHARE) == 3
    admitted = []
    for ticket in greedy:
        admitted += queue.release(ticket, 0.1, 0.1, True)
    assert [t.caller for t in admitted].count("modest") == 2 and len(admitted) == 4


def test_a_full_queue_refuses_a_call_unless_it_outweighs_a_waiting_one():
    queue = make(1, 2, 1.0)
    fill(queue, 3)
    light = [entry[2] for entry in queue.heap]
    assert queue.offer(Ticket("b", 9.0, 0.0), 0.0).reason is Reason.QUEUE_FULL
    assert queue.offer(Ticket("b", 9.0, 0.0, weight=5.0), 0.0).verdict is Verdict.QUEUED
    (displaced,) = queue.expire(0.0)
    assert displaced in light and queue.waiting == 2


def test_an_abandoned_call_admits_the_next_one():
    queue = make(1)
    (running,), _ = fill(queue, 1)
    (waiting, second), _ = fill(queue, 2, "b")
    assert queue.abandon(waiting, 0.1) == []
    assert queue.abandon(running, 0.2) == [second]
    assert queue.abandon(running, 0.3) == [] and queue.running == 1


def test_latency_is_estimated_for_each_kind_of_call():
    queue, now = make(4), 0.0
    for _ in range(40):
        for kind, latency in (("upload", 5.0), ("read", 0.01)):
            ticket = Ticket("a", 1e9, now, kind=kind)
            queue.offer(ticket, now)
            queue.release(ticket, now, latency, True)
    assert queue.offer(Ticket("a", 0.5, now, kind="upload"), now).verdict is Verdict.REFUSED
    assert queue.offer(Ticket("a", 0.5, now, kind="read"), now).verdict is Verdict.ADMITTED


def test_the_limit_falls_under_congestion_and_grows_only_in_use():
    limit = ConcurrencyLimit(20, 2, 100)
    for _ in range(400):
        limit.record_end(0.0, 0.01, 0.15, True, 3)
    assert limit.allowed == 20
    for _ in range(1000):
        limit.record_end(0.0, 0.01, 0.15, True, limit.allowed)
    grown = limit.allowed
    assert grown > 30
    for _ in range(1000):
        limit.record_end(0.0, 0.08, 0.15, True, limit.allowed)
    assert limit.allowed < grown / 2
    for _ in range(4000):
        limit.record_end(0.0, 0.0, 0.15, False, limit.allowed)
    assert limit.allowed == 2


def test_calls_that_are_always_slow_do_not_lower_the_limit():
    limit = ConcurrencyLimit(20, 2, 100)
    for i in range(4000):
        limit.record_end(i / 100, 0.1, 0.15, True, limit.allowed)
    assert limit.allowed >= 20
