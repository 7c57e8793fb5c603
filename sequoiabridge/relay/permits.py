"""Gets permits for calls to upstreams with limits, from the coordinator or as the coordinator."""

from __future__ import annotations

from random import Random

import curio

from ..balancing.limit_leases import CoordinatorChoice, LeaseMessage, LeaseRegister
from ..balancing.permits import PermitDecision, PermitIssuer, PermitSource
from ..balancing.upstream import Upstream
from ..component import Component
from ..timers import Clock
from .decisions import DecisionLog
from .hello import Hello
from .limit_messages import Lease, LeaseReceipt, LimitNamed, PermitReply, PermitRequest
from .members import Members
from .request_limits import RequestLimits
from .sharing import Sharing

REPLY_TIMEOUT = 0.06
"""Seconds that a call waits for the coordinator's reply."""

UNANSWERED_WAIT = 0.3
"""Seconds after an unanswered request in which no permit of the upstream is requested."""

ANNOUNCE_INTERVAL = 2.0
"""Seconds between two messages of the coordinator that tell all VMs the known limits."""

LEASES_KEPT_SECONDS = 5.0
"""Seconds without a limit after which this VM stops to renew its lease."""

MAX_REQUEST_NUMBER = 2**48


class OpenRequest:
    """A request for a permit that the coordinator has not answered."""

    __slots__ = ("answered", "decision")

    def __init__(self) -> None:
        self.answered = curio.Event()
        self.decision: PermitDecision | None = None


class Denial:
    """A refused or unanswered request.

    Attributes:
        until: Time until which calls that are not more urgent need not ask.
        priority: Priority of the call.
    """

    __slots__ = ("until", "priority")

    def __init__(self, until: float, priority: int):
        self.until = until
        self.priority = priority


class Permits(PermitSource, Component):
    """Requests permits, and grants them while this VM is the coordinator.

    Attributes:
        unanswered: Number of requests that the coordinator did not answer in time.
        granted_to_peers: Number of permits granted to other VMs.
        denials: Latest denial by name of the upstream's lifetime.
        answered: Requests that have been answered and wait for `wake_answered`.
    """

    name = "permits"

    def __init__(
        self,
        members: Members,
        sharing: Sharing,
        limits: RequestLimits,
        decisions: DecisionLog,
        clock: Clock,
        random: Random,
        started_at: float,
    ):
        self.members = members
        self.sharing = sharing
        self.limits = limits
        self.decisions = decisions
        self.clock = clock
        self.choice = CoordinatorChoice(members.own_hello.vm, started_at)
        self.register = LeaseRegister()
        self.issuer = PermitIssuer()
        self.open_requests: dict[int, OpenRequest] = {}
        self.answered: list[OpenRequest] = []
        # Replies to an earlier process must not be taken for replies to this one.
        self.next_number = random.randrange(MAX_REQUEST_NUMBER)
        self.denials: dict[str, Denial] = {}
        self.limited_at = float("-inf")
        self.announced_at = float("-inf")
        self.unanswered = 0
        self.granted_to_peers = 0
        limits.on_change = self._tell_peers
        sharing.on_limit_message = self.handle

    def may_request(self, upstream: Upstream, priority: int) -> bool:
        return self.wait(upstream, priority) <= 0.0

    def wait(self, upstream: Upstream, priority: int) -> float:
        now = self.clock.now()
        if upstream.stats.is_unresponsive(now) or self.choice.coordinator(now) is None:
            return float("inf")
        denial = self.denials.get(upstream.lifetime)
        if denial is None or priority < denial.priority:
            return 0.0
        return max(0.0, denial.until - now)

    def rate(self, service: str) -> float:
        total = sum(
            u.stats.request_limit.rate
            for u in self.limits.limited()
            if u.record.service == service and u.accepts_calls
        )
        return total / self.members.count

    async def request(self, upstream: Upstream, priority: int) -> bool:
        """Return whether one call may be sent to an upstream now."""
        limit = upstream.stats.request_limit
        if limit.rate is None:
            return True
        decision = await self._decide(upstream, priority)
        if decision.granted:
            limit.granted += 1
            return True
        limit.refused += 1
        self.denials[upstream.lifetime] = Denial(self.clock.now() + decision.wait, priority)
        return False

    def tick(self) -> None:
        """Renew the lease of this VM while there are limits; called by a timer."""
        now = self.clock.now()
        if self.limits.limited():
            self.limited_at = now
        if self._keeps_leases(now):
            self._renew_lease(now)
        self.issuer.discard_idle(now)
        self.denials = {name: one for name, one in self.denials.items() if one.until > now}

    def _keeps_leases(self, now: float) -> bool:
        return self.members.joined and now - self.limited_at <= LEASES_KEPT_SECONDS

    def _renew_lease(self, now: float) -> None:
        before = self.choice.holder
        for message in self.choice.tick(self._vms(), now):
            self._send_lease(message, now)
        if self.choice.holder != before:
            self.decisions.event("limit-coordinator", peer=self.choice.holder, was=before)
        if self._is_coordinator(now) and now - self.announced_at >= ANNOUNCE_INTERVAL:
            self.announced_at = now
            self._announce(self.members.all_addresses)

    def _start_leases(self) -> None:
        """Lease this VM's share at once when a limit is named while there were none."""
        if not self._keeps_leases(self.clock.now()):
            self.tick()

    def handle_hello(self, hello: Hello) -> None:
        """Tell a daemon that has just started the limits, as a neighbour or as their coordinator.

        The daemon that starts may itself have been the coordinator.
        """
        is_neighbour = hello.data_centre == self.members.own_hello.data_centre
        if is_neighbour or self.register.count(self.clock.now()):
            self._announce([hello.address])

    def handle(self, message: object) -> None:
        """Handle a message of a peer."""
        if isinstance(message, LimitNamed):
            self._record_peer_report(message)
        elif isinstance(message, Lease):
            self._handle_lease(message)
        elif isinstance(message, LeaseReceipt):
            self._handle_receipt(message)
        elif isinstance(message, PermitRequest):
            self._handle_request(message)
        elif isinstance(message, PermitReply):
            self._handle_reply(message)

    async def wake_answered(self) -> None:
        """Continue the calls whose requests were answered; called after each batch of datagrams."""
        answered, self.answered = self.answered, []
        for opened in answered:
            await opened.answered.set()

    def dump(self) -> dict:
        """Describe leases and permits for the state dump."""
        now = self.clock.now()
        return {
            "coordinator": self.choice.coordinator(now),
            "leases_held": self.register.count(now),
            "share_held": round(self.register.share(self.members.count, now), 3),
            "granted_to_peers": self.granted_to_peers,
            "unanswered": self.unanswered,
        }

    def _is_coordinator(self, now: float) -> bool:
        """Return whether this VM is the coordinator of others, or takes itself for the next one."""
        own = self.members.own_hello.vm
        return self.register.count(now) > 1 or self.choice.preferred == own

    def _vms(self) -> list[str]:
        return [self.members.own_hello.vm, *self.members.peers]

    async def _decide(self, upstream: Upstream, priority: int) -> PermitDecision:
        now = self.clock.now()
        coordinator = self.choice.coordinator(now)
        if coordinator is None:
            return PermitDecision(False, UNANSWERED_WAIT)
        if coordinator == self.members.own_hello.vm:
            limit = upstream.stats.request_limit
            return self._grant(upstream.lifetime, limit.rate, priority)
        return await self._ask(coordinator, upstream, priority)

    async def _ask(self, coordinator: str, upstream: Upstream, priority: int) -> PermitDecision:
        """Ask another VM for a permit."""
        self.next_number += 1
        number, limit = self.next_number, upstream.stats.request_limit
        age = max(0.0, self.clock.now() - limit.observed_at)
        own = self.members.own_hello.vm
        request = PermitRequest(own, number, upstream.lifetime, limit.rate, age, priority)
        opened = self.open_requests[number] = OpenRequest()
        # Other calls need not ask for the same upstream meanwhile.
        self.denials[upstream.lifetime] = Denial(self.clock.now() + REPLY_TIMEOUT, priority)
        try:
            self._send(request, coordinator)
            async with curio.ignore_after(REPLY_TIMEOUT):
                await opened.answered.wait()
        finally:
            del self.open_requests[number]
        if opened.decision is None:
            self.unanswered += 1
            return PermitDecision(False, UNANSWERED_WAIT)
        self.denials.pop(upstream.lifetime, None)
        return opened.decision

    def _grant(self, upstream: str, limit: float | None, priority: int) -> PermitDecision:
        """Decide on a request as the coordinator."""
        now = self.clock.now()
        share = self.register.share(self.members.count, now)
        return self.issuer.request(upstream, limit or 0.0, share, priority, now)

    def _handle_request(self, request: PermitRequest) -> None:
        self._record_peer_report(request)
        known = self.sharing.upstreams.find_lifetime(request.upstream)
        rate = known.stats.request_limit.rate if known is not None else None
        rate = request.rate if rate is None else rate
        decision = self._grant(request.upstream, rate, request.priority)
        self.granted_to_peers += decision.granted
        reply = PermitReply(request.number, decision.granted, decision.wait)
        self._send(reply, request.vm)

    def _record_peer_report(self, message: LimitNamed | PermitRequest) -> None:
        """Record a limit that a peer knows; announce it at the next tick if it is new here."""
        if self.limits.record_peer_report(message.upstream, message.rate, message.age):
            self.announced_at = float("-inf")
            self._start_leases()

    def _handle_reply(self, reply: PermitReply) -> None:
        opened = self.open_requests.get(reply.number)
        if opened is None:
            return
        opened.decision = PermitDecision(reply.granted, reply.wait)
        self.answered.append(opened)

    def _handle_lease(self, lease: Lease) -> None:
        if not self.members.joined:
            return
        now = self.clock.now()
        self.members.add_peer(lease.hello)
        if lease.receipt_at is not None:
            self.register.renew(lease.hello.vm, lease.receipt_at, now)
        known = len(self.limits.limited())
        self._send(LeaseReceipt(self.members.own_hello.vm, now, known), lease.hello.vm)

    def _handle_receipt(self, receipt: LeaseReceipt) -> None:
        """Record a receipt; tell its sender the limits if it knows fewer, having just started."""
        self._record_receipt(receipt.vm, receipt.at, self.clock.now())
        peer = self.members.peers.get(receipt.vm)
        if peer is not None and receipt.limits < len(self.limits.limited()):
            self._announce([peer.address])

    def _send_lease(self, message: LeaseMessage, now: float) -> None:
        own = self.members.own_hello
        if message.vm != own.vm:
            self._send(Lease(own, message.receipt_at), message.vm)
            return
        if message.receipt_at is not None:
            self.register.renew(own.vm, message.receipt_at, now)
        self._record_receipt(own.vm, now, now)

    def _record_receipt(self, vm: str, at: float, now: float) -> None:
        self.choice.record_receipt(vm, at, now)
        lease = self.choice.first_lease(vm, now)
        if lease is not None:
            self._send_lease(lease, now)

    def _send(self, message: object, vm: str) -> None:
        peer = self.members.peers.get(vm)
        if peer is not None:
            self.sharing.channel.send(message, [peer.address])

    def _tell_peers(self, upstream: Upstream) -> None:
        """Tell all peers a limit that has changed."""
        self.sharing.broadcast(
            LimitNamed(upstream.lifetime, upstream.stats.request_limit.rate, 0.0)
        )
        self._start_leases()

    def _announce(self, addresses: list[str]) -> None:
        """Tell peers all known limits."""
        now = self.clock.now()
        for upstream in self.limits.limited():
            limit = upstream.stats.request_limit
            message = LimitNamed(upstream.lifetime, limit.rate, max(0.0, now - limit.observed_at))
            self.sharing.channel.send(message, addresses)
