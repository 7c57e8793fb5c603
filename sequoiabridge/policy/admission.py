"""Admission control of a service: decides which calls run, wait or are refused.

Calls over the concurrency limit wait in a bounded queue, ordered by deadline. A call that can't
meet its deadline is refused as soon as that is known, with an estimate of when to retry. While
others wait, the calls of one caller take at most its share of the limit and of the queue.
"""

from __future__ import annotations

from collections import Counter
from heapq import heapify, heappop, heappush
from math import exp

from ..outcome import Reason
from .concurrency import ConcurrencyLimit
from .latency_estimate import ESTIMATE_DECAY_SECONDS, LatencyEstimate
from .tickets import ADMITTED, QUEUED, Decision, Ticket, Verdict

INTERVAL_WEIGHT = 0.1
"""Weight of the newest interval between ends of calls in the moving average."""

MAX_KINDS = 64
"""Maximum number of kinds of call with a latency estimate each; the others share one."""

MAX_STALE_ENTRIES = 64
"""Heap entries of calls that no longer wait that are kept before the heap is rebuilt."""

MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS = 0.05, 10.0
"""Bounds of `retry_after`."""


class AdmissionQueue:
    """Admission control of one service on one daemon.

    Args:
        limit: Limit on the running calls.
        queue_limit: Maximum number of waiting calls.
        caller_share: Share (0 to 1) of the limit and of the queue that one caller may take
            while others wait.
    """

    def __init__(self, limit: ConcurrencyLimit, queue_limit: int, caller_share: float):
        self.limit = limit
        self.queue_limit = queue_limit
        self.caller_share = caller_share
        self.latencies: dict[str, LatencyEstimate] = {}
        self.interval_updated_at = 0.0
        self.end_interval = 0.0
        self.last_end: float | None = None
        self.running = 0
        self.waiting = 0
        self.running_by: Counter[str] = Counter()
        self.waiting_by: Counter[str] = Counter()
        self.heap: list[tuple[float, int, Ticket]] = []
        self.displaced: list[Ticket] = []  # to be refused by the next `expire`
        self.sequence = 0
        self.refused: Counter[Reason] = Counter()

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Decide on a new call; `release` or `expire` returns a queued one later."""
        expected = self.expected_latency(ticket.kind, now)
        if now + expected >= ticket.deadline:
            return self._refuse(Reason.CANNOT_MEET_WINDOW, now)
        if self.running < self.limit.allowed and not self.waiting:
            self._admit(ticket, now)
            return ADMITTED
        if self._over_queue_share(ticket.caller):
            return self._refuse(Reason.CALLER_SHARE, now)
        if self._misses_deadline_in_queue(ticket, expected, now):
            return self._refuse(Reason.CANNOT_MEET_WINDOW, now)
        if self.waiting >= self.queue_limit and not self._displace(ticket.weight):
            return self._refuse(Reason.QUEUE_FULL, now)
        self._queue(ticket)
        return QUEUED

    def release(self, ticket: Ticket, now: float, latency: float, ok: bool) -> list[Ticket]:
        """Record the end of a call after `latency` seconds; return the calls admitted now."""
        if ticket.admitted_at is None:
            return []
        time_left = ticket.deadline - ticket.admitted_at
        self.limit.record_end(now, latency, time_left, ok, self.running)
        if ok:
            self._estimate_of(ticket.kind).add(now, latency)
        self._update_end_interval(now)
        return self.withdraw(ticket, now)

    def withdraw(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Like `release`, for a call whose end says nothing about the load of the upstreams."""
        if ticket.admitted_at is None:
            return []
        ticket.admitted_at = None
        self.running -= 1
        _decrement(self.running_by, ticket.caller)
        return self._admit_waiting(now)

    def abandon(self, ticket: Ticket, now: float) -> list[Ticket]:
        """Remove a call whose caller disconnected; return the calls admitted in its place."""
        if ticket.waiting:
            self._unqueue(ticket)
            return []
        if ticket.admitted_at is None:
            return []
        return self.withdraw(ticket, now)

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the waiting calls to refuse now; to be called after `offer` too.

        They can no longer meet their deadline, or were displaced by a call of more weight.
        """
        expired, self.displaced = self.displaced, []
        while self.heap:
            ticket = self.heap[0][2]
            if ticket.waiting and self.can_meet(ticket, now):
                break
            heappop(self.heap)
            if ticket.waiting:
                self._unqueue(ticket)
                expired.append(ticket)
        self.refused[Reason.CANNOT_MEET_WINDOW] += len(expired)
        return expired

    def next_expiry(self, now: float) -> float | None:
        """Return the time at which to call `expire` next, or None if no call waits."""
        if self.displaced:
            return float("-inf")
        while self.heap and not self.heap[0][2].waiting:
            heappop(self.heap)
        if not self.heap:
            return None
        first = self.heap[0][2]
        return first.deadline - self.expected_latency(first.kind, now)

    def expected_latency(self, kind: str, now: float) -> float:
        """Return the estimated seconds that a call of the kind takes once admitted."""
        known = self.latencies.get(kind)
        return known.read(now) if known is not None else 0.0

    def can_meet(self, ticket: Ticket, now: float) -> bool:
        """Return whether the call would meet its deadline if admitted now."""
        return now + self.expected_latency(ticket.kind, now) <= ticket.deadline

    def retry_after(self, now: float) -> float:
        """Return the estimated seconds until the calls that wait now have been admitted."""
        return min(
            MAX_RETRY_AFTER_SECONDS,
            max(MIN_RETRY_AFTER_SECONDS, self._expected_wait(self.waiting + 1, now)),
        )

    def dump(self, now: float) -> dict:
        """Return the state for operators."""
        return {
            "limit": self.limit.allowed,
            "running": self.running,
            "waiting": self.waiting,
            "oldest wait ms": round(self._oldest_wait(now) * 1000, 1),
            "usual latency ms": {
                kind: round(latency.read(now) * 1000, 2) for kind, latency in self.latencies.items()
            },
            "refused": {reason.value: count for reason, count in self.refused.items()},
            "most by caller": dict((self.running_by + self.waiting_by).most_common(5)),
        }

    def _refuse(self, reason: Reason, now: float) -> Decision:
        self.refused[reason] += 1
        return Decision(Verdict.REFUSED, reason, self.retry_after(now))

    def _admit(self, ticket: Ticket, now: float) -> None:
        ticket.admitted_at = now
        self.running += 1
        self.running_by[ticket.caller] += 1

    def _queue(self, ticket: Ticket) -> None:
        ticket.waiting = True
        self.waiting += 1
        self.waiting_by[ticket.caller] += 1
        self.sequence += 1
        heappush(self.heap, (ticket.deadline, self.sequence, ticket))

    def _unqueue(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self.waiting -= 1
        _decrement(self.waiting_by, ticket.caller)
        if len(self.heap) > 2 * self.waiting + MAX_STALE_ENTRIES:
            self.heap = [entry for entry in self.heap if entry[2].waiting]
            heapify(self.heap)

    def _displace(self, weight: float) -> bool:
        """Displace the lightest waiting call, of several the latest, if lighter than `weight`."""
        lightest = min(
            (t for _, _, t in self.heap if t.waiting),
            key=lambda t: (t.weight, -t.deadline),
            default=None,
        )
        if lightest is None or lightest.weight >= weight:
            return False
        self._unqueue(lightest)
        self.displaced.append(lightest)
        return True

    def _estimate_of(self, kind: str) -> LatencyEstimate:
        known = self.latencies.get(kind)
        if known is not None:
            return known
        if len(self.latencies) >= MAX_KINDS:
            kind = ""
        return self.latencies.setdefault(kind, LatencyEstimate())

    def _update_end_interval(self, now: float) -> None:
        """Update the mean interval between ends of calls while calls wait."""
        self.interval_updated_at = now
        if self.last_end is not None:
            interval = now - self.last_end
            self.end_interval += (INTERVAL_WEIGHT if self.end_interval else 1.0) * (
                interval - self.end_interval
            )
        self.last_end = now if self.waiting else None

    def _expected_wait(self, ahead: int, now: float) -> float:
        """Return the estimated seconds until `ahead` calls have been admitted."""
        interval = self.end_interval * exp(
            (self.interval_updated_at - now) / ESTIMATE_DECAY_SECONDS
        )
        return ahead * interval

    def _misses_deadline_in_queue(self, ticket: Ticket, expected: float, now: float) -> bool:
        """Return whether the call would be admitted too late to meet its deadline."""
        latest = ticket.deadline - expected
        if now + self._expected_wait(self.waiting + 1, now) <= latest:
            return False  # In time even at the end of the queue.
        return now + self._expected_wait(self._ahead_of(ticket), now) > latest

    def _ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting calls have no later deadline, this one counted."""
        return 1 + sum(t.waiting and t.deadline <= ticket.deadline for _, _, t in self.heap)

    def _over_queue_share(self, caller: str) -> bool:
        """Return whether a caller has its share of the queue; a sole caller may use all of it."""
        alone = self.running_by.keys() <= {caller} and self.waiting_by.keys() <= {caller}
        return not alone and self.waiting_by[caller] >= max(1, self.caller_share * self.queue_limit)

    def _over_running_share(self, caller: str) -> bool:
        """Return whether a caller has its share of the limit while others wait."""
        others_wait = self.waiting > self.waiting_by[caller]
        return others_wait and self.running_by[caller] >= max(
            1, self.caller_share * self.limit.allowed
        )

    def _admit_waiting(self, now: float) -> list[Ticket]:
        """Admit calls by deadline; those of callers over their share come last."""
        admitted: list[Ticket] = []
        deferred: list[Ticket] = []
        while self.heap and self.running < self.limit.allowed:
            ticket = heappop(self.heap)[2]
            if not ticket.waiting:
                continue
            if not self.can_meet(ticket, now):
                self._unqueue(ticket)
                self.displaced.append(ticket)
            elif self._over_running_share(ticket.caller):
                deferred.append(ticket)
            else:
                self._admit_queued(ticket, now, admitted)
        for ticket in deferred:
            if self.running < self.limit.allowed:
                self._admit_queued(ticket, now, admitted)
            else:
                self.sequence += 1
                heappush(self.heap, (ticket.deadline, self.sequence, ticket))
        return admitted

    def _admit_queued(self, ticket: Ticket, now: float, admitted: list[Ticket]) -> None:
        self._unqueue(ticket)
        self._admit(ticket, now)
        admitted.append(ticket)

    def _oldest_wait(self, now: float) -> float:
        return max((now - t.arrived_at for _, _, t in self.heap if t.waiting), default=0.0)


def _decrement(counts: Counter[str], caller: str) -> None:
    counts[caller] -= 1
    if counts[caller] <= 0:
        del counts[caller]
