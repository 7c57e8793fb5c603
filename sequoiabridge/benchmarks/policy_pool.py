"""A small fake pool for the policy benchmark: instances of 2 slots with noisy neighbours.

A fake at the interface, not a cluster: instances hold a queue, choosers send calls and get
answers and load reports 1 ms later. Seeded; time is a number in a heap.
"""

from collections import deque
from heapq import heappop, heappush
from random import Random

ONE_WAY = 0.001
"""Seconds between a VM and an instance."""

SLOWED, QUIET_TIME, NOISY_TIME = 3.0, 0.06, 0.02
"""Neighbours slow an instance threefold for 20 ms after 60 ms of quiet; both exponential."""

ASK_WORK = 0.0001
"""Seconds that a VM and an instance spend on probes that a call waits for."""

SLOTS = 2
SPEED = (QUIET_TIME + NOISY_TIME / SLOWED) / (QUIET_TIME + NOISY_TIME)
"""Mean speed of an instance with its neighbours."""

CALLER_TIMEOUT = 1.0
"""Seconds that a failed or very late call counts as."""

FAULT_AT, STOP_AT = 1.0, 2.5
"""Seconds from the start at which the fault of a row begins, and at which a leaving one stops."""

COLD_CALLS, COLD_SPEED = 300, 0.2
"""A cold instance starts at a fifth of its speed and is warm after 300 calls."""


class Instance:
    """One instance: slots, a queue, neighbours, and perhaps a fault."""

    def __init__(self, name, random, fault=""):
        self.name, self.random, self.fault = name, random, fault
        self.queue, self.busy, self.served, self.latencies = deque(), 0, 0, {}
        self.changes, self.current = [random.expovariate(1 / QUIET_TIME)], 0

    def change(self, index):
        """When the neighbours get noisy (even index) or quiet again (odd index)."""
        while index >= len(self.changes):
            mean = QUIET_TIME if len(self.changes) % 2 == 0 else NOISY_TIME
            self.changes.append(self.changes[-1] + self.random.expovariate(1 / mean))
        return self.changes[index]

    def work_time(self, now, work):
        """Seconds until `work` is done, through the neighbours' changes to come."""
        while self.change(self.current) <= now:
            self.current += 1
        work *= self.slowdown(now)
        at, index = now, self.current
        while True:
            speed = 1.0 if index % 2 == 0 else 1 / SLOWED
            change = self.change(index)
            if at + work / speed <= change:
                return at + work / speed - now
            work -= (change - at) * speed
            at, index = change, index + 1

    def slowdown(self, now):
        """How many times longer all work takes because of the fault."""
        if now < FAULT_AT:
            return 1.0
        if self.fault == "straggler":
            return 10.0
        if self.fault == "cold":
            return 1 / min(1.0, COLD_SPEED + (1 - COLD_SPEED) * self.served / COLD_CALLS)
        return 1.0

    def in_flight(self, now):
        """What its load report says."""
        if self.fault == "lying" and now >= FAULT_AT:
            return 0
        return self.busy + len(self.queue)

    def learn(self, beside, elapsed):
        """Keep the mean latency of calls by how many others were in flight when they came."""
        mean = self.latencies.get(beside, elapsed)
        self.latencies[beside] = mean + 0.1 * (elapsed - mean)

    def latency(self):
        """The mean latency of calls that came at a load like the present one."""
        if not self.latencies:
            return 0.0
        load = self.busy + len(self.queue)
        return self.latencies[min(self.latencies, key=lambda known: abs(known - load))]

    def fails(self, now):
        """Whether a call that arrives now gets an error at once."""
        if self.fault == "draining":
            return now >= STOP_AT
        return self.fault == "fast-failing" and now >= FAULT_AT


class FakePool:
    """Runs calls of many choosers (`Player`s) against the instances and records them."""

    def __init__(self, players, instances, rate, work, seconds, seed, first):
        self.players, self.instances, self.rate, self.work = players, instances, rate, work
        self.seconds, self.first = seconds, first
        self.random = Random(seed)
        self.heap, self.order, self.latencies, self.calls = [], 0, [], 0

    def at(self, time, function, *arguments):
        """Call `function(time, *arguments)` at `time`."""
        self.order += 1
        heappush(self.heap, (time, self.order, function, arguments))

    def run(self):
        """Run to the end and return the latency of each call from `first` seconds on."""
        self.at(self.random.expovariate(self.rate), self.arrive)
        for player in self.players:
            self.at(FAULT_AT, player.grow)
        while self.heap:
            time, _, function, arguments = heappop(self.heap)
            function(time, *arguments)
        return self.latencies

    def arrive(self, now):
        """One call arrives at one VM."""
        if now > self.seconds:
            return
        self.at(now + self.random.expovariate(self.rate), self.arrive)
        self.calls += 1
        player = self.random.choice(self.players)
        work = self.random.expovariate(1 / self.work)
        if player.ask(now):
            self.at(now + 2 * ONE_WAY + ASK_WORK, self.choose, player, work, now)
        else:
            self.choose(now, player, work, now)

    def choose(self, now, player, work, start):
        """The VM chooses, after the answers to its probes if it asked first."""
        ticket = player.send(now)
        if ticket is None:
            self.record(start, CALLER_TIMEOUT)
            return
        instance = self.instances[ticket.name]
        self.at(now + ONE_WAY, self.reach, instance, player, ticket, start, work)

    def reach(self, now, instance, player, ticket, start, work):
        """The call reaches its instance."""
        if instance.fails(now):
            self.at(now + ONE_WAY + 0.0003, self.fail, player, ticket, start)
            return
        beside = instance.busy + len(instance.queue)
        instance.queue.append((player, ticket, start, now, beside, work))
        self.serve(now, instance)

    def serve(self, now, instance):
        """Start what the free slots allow."""
        while instance.queue and instance.busy < SLOTS:
            player, ticket, start, came, beside, work = instance.queue.popleft()
            instance.busy += 1
            end = now + instance.work_time(now, work)
            self.at(end, self.finish, instance, player, ticket, start, came, beside)

    def finish(self, now, instance, player, ticket, start, came, beside):
        """The work is done; the answer leaves with a load report."""
        instance.busy -= 1
        instance.served += 1
        instance.learn(beside, now - came)
        leaving = instance.fault == "draining" and now >= FAULT_AT
        report = instance.in_flight(now)
        self.at(now + ONE_WAY, self.answer, player, ticket, start, report, leaving)
        self.serve(now, instance)

    def answer(self, now, player, ticket, start, report, leaving):
        """The answer reaches the VM."""
        self.record(start, now - start)
        player.answered(now, ticket, report, leaving)

    def fail(self, now, player, ticket, start):
        """An error reaches the VM."""
        self.record(start, CALLER_TIMEOUT)
        player.failed(now, ticket)

    def record(self, start, latency):
        """Keep the latency of a call that started after the warm-up."""
        if start >= self.first:
            self.latencies.append(min(latency, CALLER_TIMEOUT))

    def probe(self, now, name, callback):
        """Ask an instance for its load: `callback(time, name, in_flight, latency)` comes later."""
        self.at(now + ONE_WAY, self.probed, name, callback)

    def probed(self, now, name, callback):
        """The probe reaches its instance; a slow or failing one answers it as fast as any."""
        instance = self.instances[name]
        if instance.fault == "draining" and now >= STOP_AT:
            return
        in_flight = instance.in_flight(now)
        self.at(now + ONE_WAY, callback, name, in_flight, instance.latency())
