"""A simulation of the VMs that spend the limit of one upstream together.

It drives `limit_leases` and `permits` with lost and delayed messages, restarts and cuts, and
records when calls arrive at the upstream.
"""

import heapq
from itertools import count
from random import Random

from ...balancing.limit_leases import RENEWAL_INTERVAL, CoordinatorChoice, LeaseRegister
from ...balancing.permits import PERMIT_SECONDS, PermitIssuer

ONE_WAY = 0.0014
"""Seconds that a message takes between two VMs, or a call to the upstream."""

REPLY_TIMEOUT = 0.06
WINDOW = 4.0


class SimulatedVm:
    """One VM: its process and how it is disturbed."""

    def __init__(self, name, now):
        self.name = name
        self.is_cut = False
        self.paused_until = 0.0
        self.restart(now)

    def restart(self, now):
        """Start a new process, which knows nothing of the one before."""
        self.choice = CoordinatorChoice(self.name, now)
        self.register = LeaseRegister()
        self.issuer = PermitIssuer()
        self.denied_until = 0.0
        self.process = object()


class LimitSimulation:
    """VMs with calls for one upstream that takes `limit` requests a second.

    Args:
        vms: Number of VMs.
        calls: Calls per second, all VMs together.
        loss: Share of the messages between VMs that is lost.
        delay: Maximum seconds by which a message is late.

    Attributes:
        arrivals: Time and VM of each call that arrived at the upstream.
    """

    def __init__(self, vms, limit, calls, loss=0.0, delay=0.0, seed=1):
        self.random = Random(seed)
        self.now = 100.0
        self.limit, self.calls, self.loss, self.delay = limit, calls, loss, delay
        self.vms = {f"vm-{n}": SimulatedVm(f"vm-{n}", self.now) for n in range(vms)}
        self.queue, self.order = [], count()
        self.arrivals = []
        self.excused = []
        for vm in self.vms.values():
            self.later(self.random.uniform(0.0, RENEWAL_INTERVAL), self.tick, vm, vm.process)
        self.later(0.0, self.next_call)

    def later(self, seconds, action, *arguments):
        heapq.heappush(self.queue, (self.now + seconds, next(self.order), action, arguments))

    def run(self, seconds):
        """Run for some time."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now = end

    def disturb(self, vm, seconds):
        """Excuse a VM from now on for some seconds, and 3 s more."""
        self.excused.append((self.now, self.now + seconds + 3.0, vm.name))

    def restart(self, vm):
        """Kill and start a VM's process."""
        self.disturb(vm, 0.0)
        vm.restart(self.now)
        self.later(0.0, self.tick, vm, vm.process)

    def pause(self, vm, seconds):
        """Suspend a VM; messages wait in its socket meanwhile."""
        self.disturb(vm, seconds)
        vm.paused_until = self.now + seconds

    def cut(self, vm, seconds):
        """Cut a VM off from all others, but not from the upstream."""
        self.disturb(vm, seconds)
        vm.is_cut = True
        self.later(seconds, setattr, vm, "is_cut", False)

    def send(self, source, target, action, *arguments):
        """Deliver a message, unless it is lost."""
        if source.is_cut or target.is_cut or self.random.random() < self.loss:
            return
        seconds = ONE_WAY + self.random.uniform(0.0, self.delay)
        self.later(seconds, self.deliver, target, target.process, action, arguments)

    def deliver(self, target, process, action, arguments):
        if target.process is not process:
            return
        if target.paused_until > self.now:
            wait = target.paused_until - self.now
            self.later(wait, self.deliver, target, process, action, arguments)
            return
        action(*arguments)

    def tick(self, vm, process):
        if vm.process is not process:
            return
        if vm.paused_until > self.now:
            self.later(vm.paused_until - self.now, self.tick, vm, process)
            return
        for message in vm.choice.tick(list(self.vms), self.now):
            target = self.vms[message.vm]
            if target is vm:
                self.lease(vm, vm, message.receipt_at)
            else:
                self.send(vm, target, self.lease, vm, target, message.receipt_at)
        self.later(RENEWAL_INTERVAL, self.tick, vm, process)

    def lease(self, vm, coordinator, receipt_at):
        if receipt_at is not None:
            coordinator.register.renew(vm.name, receipt_at, self.now)
        if vm is coordinator:
            self.receipt(vm, vm.name, self.now)
        else:
            self.send(coordinator, vm, self.receipt, vm, coordinator.name, self.now)

    def receipt(self, vm, coordinator, at):
        vm.choice.record_receipt(coordinator, at, self.now)
        lease = vm.choice.first_lease(coordinator, self.now)
        if lease is None:
            return
        if vm.name == coordinator:
            self.lease(vm, vm, lease.receipt_at)
        else:
            self.send(vm, self.vms[coordinator], self.lease, vm, self.vms[coordinator], at)

    def next_call(self):
        self.later(self.random.expovariate(self.calls), self.next_call)
        vm = self.random.choice(list(self.vms.values()))
        if vm.paused_until > self.now or vm.denied_until > self.now:
            return
        coordinator = vm.choice.coordinator(self.now)
        if coordinator is None:
            return
        if coordinator == vm.name:
            self.decide(vm, vm, self.now)
            return
        vm.denied_until = self.now + REPLY_TIMEOUT
        self.send(vm, self.vms[coordinator], self.decide, self.vms[coordinator], vm, self.now)

    def decide(self, coordinator, vm, asked_at):
        share = coordinator.register.share(len(self.vms), self.now)
        decision = coordinator.issuer.request("u", self.limit, share, 0, self.now)
        if coordinator is vm:
            self.decided(vm, asked_at, decision)
        else:
            self.send(coordinator, vm, self.decided, vm, asked_at, decision)

    def decided(self, vm, asked_at, decision):
        if self.now - asked_at > min(REPLY_TIMEOUT, PERMIT_SECONDS):
            return
        if decision.granted:
            vm.denied_until = self.now
            self.later(ONE_WAY, self.arrive, vm)
        else:
            vm.denied_until = self.now + decision.wait

    def arrive(self, vm):
        self.arrivals.append((self.now, vm.name))

    def rate(self, start):
        """Return the arrivals a second since `start`."""
        return sum(at >= start for at, _ in self.arrivals) / (self.now - start)

    def worst_excess(self, excuses=True):
        """Return by how much the worst window exceeds what the rule allows."""
        allowed = 1.5 * WINDOW * self.limit + 5.0
        return max((self.count(at, excuses) for at, _ in self.arrivals), default=0) - allowed

    def count(self, start, excuses):
        end = start + WINDOW
        excused = {
            name for begin, stop, name in self.excused if excuses and begin < end and start < stop
        }
        return sum(start <= at < end and name not in excused for at, name in self.arrivals)
