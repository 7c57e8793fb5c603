"""Admission under overload: how many calls are answered in their window, and whose.

Run as `make bench-limits`. One daemon, seeded; the pool behind it is a number of
slots that is halved for the middle third of the run. One caller sends nine tenths of the calls.
"""

from collections import deque
from heapq import heappop, heappush
from random import Random

from ..policy.admission import AdmissionQueue, Ticket, Verdict
from ..policy.concurrency import ConcurrencyLimit

SLOTS, WORK, WINDOW, SECONDS = 8, 0.010, 0.15, 30.0
"""Slots behind the daemon, mean seconds of work (exponential), window and length in seconds."""

ENOUGH = 100_000
"""A limit or queue length that is never reached: no admission control."""


class Overload:
    """Plays one way of admission at a load and counts what was answered in the window."""

    def __init__(self, queue, load, seed):
        self.queue, self.random = queue, Random(seed)
        self.rate = load * SLOTS / WORK
        self.heap, self.order, self.inside, self.busy = [], 0, deque(), 0
        self.sent = {"greedy": 0, "modest": 0}
        self.good = {"greedy": 0, "modest": 0}
        self.refused_late = 0

    def at(self, time, function, *arguments):
        self.order += 1
        heappush(self.heap, (time, self.order, function, arguments))

    def run(self):
        self.at(0.0, self.arrive)
        while self.heap:
            time, _, function, arguments = heappop(self.heap)
            function(time, *arguments)

    def arrive(self, now):
        if now > SECONDS:
            return
        self.at(now + self.random.expovariate(self.rate), self.arrive)
        caller = "greedy" if self.random.random() < 0.9 else "modest"
        ticket = Ticket(caller, now + WINDOW, now)
        self.sent[caller] += 1
        if self.queue.offer(ticket, now).verdict is Verdict.ADMITTED:
            self.start(now, ticket)
        self.expire(now)

    def expire(self, now):
        late = [t for t in self.queue.expire(now) if t.deadline <= now]
        self.refused_late += len(late)
        due = self.queue.next_expiry(now)
        if due is not None:
            self.at(max(due, now + 0.001), lambda time: self.queue.expire(time))

    def start(self, now, ticket):
        self.inside.append((ticket, now))
        self.serve(now)

    def serve(self, now):
        slots = SLOTS // 2 if SECONDS / 3 < now < SECONDS * 2 / 3 else SLOTS
        while self.inside and self.busy < slots:
            ticket, started = self.inside.popleft()
            self.busy += 1
            self.at(now + self.random.expovariate(1 / WORK), self.finish, ticket, started)

    def finish(self, now, ticket, started):
        self.busy -= 1
        self.good[ticket.caller] += now <= ticket.deadline
        for admitted in self.queue.release(ticket, now, now - started, True):
            self.start(now, admitted)
        self.serve(now)


def main():
    """Print the share of sent calls answered in the window, per way and caller."""
    ways = {
        "no limit": lambda: AdmissionQueue(ConcurrencyLimit(ENOUGH, ENOUGH, ENOUGH), ENOUGH, 1.0),
        "fixed 16": lambda: AdmissionQueue(ConcurrencyLimit(16, 16, 16), 64, 1.0),
        "fixed 64": lambda: AdmissionQueue(ConcurrencyLimit(64, 64, 64), 64, 1.0),
        "adaptive": lambda: AdmissionQueue(ConcurrencyLimit(64, 1, 200), 64, 1.0),
        "adaptive, shares": lambda: AdmissionQueue(ConcurrencyLimit(64, 1, 200), 64, 0.5),
    }
    for load in (0.7, 1.0, 1.5, 3.0):
        for name, make in ways.items():
            play = Overload(make(), load, 5)
            play.run()
            good = sum(play.good.values()) / sum(play.sent.values())
            modest = play.good["modest"] / play.sent["modest"]
            print(
                f"load {load:.0%} {name:17} in window {good:6.1%}, the modest caller's "
                f"{modest:6.1%}, limit at the end {play.queue.limit.allowed}, "
                f"refused after the deadline {play.refused_late}"
            )


if __name__ == "__main__":
    main()
