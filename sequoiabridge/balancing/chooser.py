"""Chooses the upstream of a call: probes some candidates and takes the one of the lowest cost."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..exceptions import Refusal
from ..timers import Clock
from .call import Call
from .candidates import Candidates
from .cost_model import (
    CallRequirements,
    CostEstimate,
    estimate_cost,
    lacks_capacity,
    may_lack_room,
)
from .exclusion import Exclusion
from .overload import OverloadTracker
from .refusals import at_limit, overloaded, resting
from .return_schedule import MAX_RETURN_SECONDS, ReturnSchedule
from .route_stats import RouteStats
from .send_policy import SendPolicy
from .steps import BackgroundProbe, Probe, RequestPermit, Sleep, Steps
from .upstream import Upstream
from .upstream_stats import PROBE_WAIT

MAX_PROBED = 5
"""Maximum number of upstreams probed before a call. In trials, probing 3 kept 0.978 of the worth of
a quiet day, 5 kept 0.990 and 8 no more than 5."""

FRESH_REPORT_AGE = 0.02
"""Age in seconds up to which a load report is used without a new probe. Calls sent meanwhile are
counted, and neighbours change only twice a second."""

MIN_REMOTE_GAIN = 0.12
"""Minimum amount by which the cost of the best local upstream must exceed the transfer cost before
remote upstreams are probed. Probes between data centres have a cost as well. Five of them move some
2.5 KB, which costs 0.05, and cost 0.02 themselves; with 0.05 here, a quiet day of 14 VMs earned
0.832, with 0.12 it earned 0.850 (means of three runs)."""

HOLD_SHARE = 0.125
"""Maximum time for which a call is held while no upstream has capacity, as a share of the target
latency. Waiting longer costs callers more than trying again later."""

HOLD_POLL_INTERVAL = 0.01
"""Seconds between checks for capacity while a call is held. A slot becomes free every few
milliseconds in a service of some dozen upstreams."""

LOGGED_ESTIMATES = 3
"""Maximum number of cost estimates logged per choice."""


Acceptance = Callable[[CostEstimate], bool]
"""Returns whether a call would be sent to a chosen upstream."""


def accept_any(estimate: CostEstimate) -> bool:
    """Accept every upstream."""
    return True


class Chooser:
    """Chooses upstreams for calls.

    Args:
        candidates: Selects the upstreams to choose from.
        route_stats: Estimates a call's work and the cost of transferring it.
        policy: Decides which upstreams may get calls.

    Attributes:
        vm_count: Number of VMs that share the upstreams.
    """

    def __init__(
        self,
        candidates: Candidates,
        route_stats: RouteStats,
        clock: Clock,
        random: Random,
        policy: SendPolicy | None = None,
    ):
        self.candidates = candidates
        self.route_stats = route_stats
        self.clock = clock
        self.random = random
        self.overload = OverloadTracker()
        self.policy = policy or SendPolicy(clock)
        self.returns = ReturnSchedule(random)
        self.vm_count = 1

    def choose_or_hold(self, call: Call) -> Steps[CostEstimate | None]:
        """Return an upstream with capacity for a new call, None if the service has no upstream.

        The call is held for a short time while all upstreams lack capacity.

        Raises:
            Refusal: No upstream had capacity in that time, or none may get calls for longer.
        """
        hold_until = call.arrived + call.body_seconds + self._max_hold(call)
        best = yield from self.choose_with_capacity(call)
        if not call.prior_wait:
            no_capacity = self._lacks_connections(call, best) or (
                best is not None and self.lacks_capacity(call, best)
            )
            self.overload.record(call.service, no_capacity, self.clock.now())
        best = yield from self._hold(call, best, hold_until)
        if self._lacks_connections(call, best):
            raise overloaded(call)
        if best is None:
            later = self._chosen_later(call)
            if not later:
                return None
            raise self._refusal(call, later)
        if self.lacks_capacity(call, best):
            raise overloaded(call)
        return best

    def choose_again_or_hold(self, call: Call, latest: float) -> Steps[CostEstimate | None]:
        """Return the best upstream for a retry of a call that cannot have run, None without one.

        The call is held as a new one is, up to the time `latest`; all holds of a call together last
        no longer than that of a new one. The upstream lacks capacity if none had it in that time.
        """
        best = yield from self.choose_with_capacity(call)
        hold_until = self.clock.now() + self._max_hold(call) - call.held_seconds
        return (yield from self._hold(call, best, min(hold_until, latest)))

    def choose_with_capacity(self, call: Call) -> Steps[CostEstimate | None]:
        """Return the best upstream, as `choose`; it needs no permit if it lacks capacity."""
        return self.choose(call, lambda best: not self.lacks_capacity(call, best))

    def lacks_capacity(self, call: Call, estimate: CostEstimate) -> bool:
        """Return whether a chosen upstream lacks capacity for the call."""
        return lacks_capacity(self._requirements(call), estimate)

    def choose(
        self, call: Call, is_acceptable: Acceptance = accept_any
    ) -> Steps[CostEstimate | None]:
        """Return the best upstream that the call has not been sent to, None if there is none.

        An upstream with a limit is returned with a permit, or without one if it is not acceptable.

        Args:
            is_acceptable: Returns whether the call would be sent to an upstream.

        Raises:
            Refusal: The request has been blocked, and no attempt is open.
        """
        refusal = self.policy.refusal(call)
        if refusal is not None and not call.open_attempts:
            raise refusal
        excluded_ids = call.tried_ids
        call.excluded = {}
        while True:
            best = yield from self._choose_from_others(call, excluded_ids)
            if best is None or best.upstream.stats.request_limit.rate is None:
                return best
            if not is_acceptable(best):
                return best
            requested_at = self.clock.now()
            granted = yield RequestPermit(best.upstream, call.route.priority)
            if granted and self.policy.exclusion(best.upstream) is None:
                best.permit_at = requested_at
                return best
            self._exclude(call, best.upstream, Exclusion.PERMIT_REFUSED)
            excluded_ids = {*excluded_ids, best.upstream.id}

    def _choose_from_others(self, call: Call, excluded_ids: set[str]) -> Steps[CostEstimate | None]:
        """Return the best upstream that is not excluded and whose limit, if any, is not used up."""
        candidates = self.candidates.for_service(call.service)

        def usable(upstreams: list[Upstream]) -> list[Upstream]:
            others = [upstream for upstream in upstreams if upstream.id not in excluded_ids]
            return [upstream for upstream in others if self._may_send(call, upstream)]

        yield from self._probe_due(candidates.local)
        local = usable(candidates.local)
        yield from self._probe(local)
        best = self._best(call, local)
        transfer_cost = self.route_stats.transfer_cost(call)
        if best is None or best.cost > transfer_cost + MIN_REMOTE_GAIN or may_lack_room(best):
            yield from self._probe_due(candidates.remote)
            remote = usable(candidates.remote)
            yield from self._probe(remote)
            best = self._best(call, local + remote)
        if best is None:
            spare = usable(self._unlimited_spare(call))
            spare = self.random.sample(spare, min(MAX_PROBED, len(spare)))
            yield from self._probe(spare)
            best = self._best(call, spare)
        return best

    def _probe_due(self, upstreams: list[Upstream]) -> Steps[None]:
        """Probe unresponsive upstreams that are due, without waiting for them."""
        now = self.clock.now()
        for upstream in upstreams:
            if upstream.stats.is_probe_due(now):
                yield BackgroundProbe(upstream)

    def _probe(self, upstreams: list[Upstream]) -> Steps[None]:
        """Probe a random sample; do not wait for upstreams that are currently unresponsive.

        The order is random too, since the limit on probes may allow the first ones only.
        """
        now = self.clock.now()
        to_probe = [u for u in upstreams if not u.stats.is_unresponsive(now)]
        to_probe = [u for u in to_probe if now - u.stats.load_reported_at > FRESH_REPORT_AGE]
        if to_probe:
            to_probe = self.random.sample(to_probe, min(MAX_PROBED, len(to_probe)))
            yield Probe(to_probe, PROBE_WAIT)

    def _may_send(self, call: Call, upstream: Upstream) -> bool:
        """Return whether the upstream may get the call; record the reason if it may not."""
        reason = self.policy.why_not(upstream, call.route.priority)
        if reason is not None:
            self._exclude(call, upstream, reason)
        return reason is None

    def _is_still_usable(self, call: Call, upstream: Upstream) -> bool:
        """Return whether nothing has excluded an upstream while it was probed."""
        reason = self.policy.why_not_now(upstream)
        if reason is not None:
            self._exclude(call, upstream, reason)
        return reason is None

    def _exclude(self, call: Call, upstream: Upstream, reason: Exclusion) -> None:
        self.policy.count(reason, upstream)
        call.excluded[upstream.id] = reason.value

    def refusal_while_excluded(self, call: Call) -> Refusal | None:
        """Return the refusal of a call while all upstreams rest or have used up their limits.

        None if one of them can be chosen now or lacks a connection only, or none later.
        """
        later = self._chosen_later(call)
        candidates = self.candidates.for_service(call.service).all
        is_any_usable = any(
            self.policy.why_not(upstream, call.route.priority) in (None, Exclusion.NO_CONNECTION)
            for upstream in candidates + self._unlimited_spare(call)
        )
        return self._refusal(call, later) if later and not is_any_usable else None

    def _unlimited_spare(self, call: Call) -> list[Upstream]:
        """Return the upstreams beyond the candidates that have no limit.

        A call asks for permits of the candidates only; there may be many more upstreams.
        """
        spare = self.candidates.for_service(call.service).spare
        return [upstream for upstream in spare if upstream.stats.request_limit.rate is None]

    def _max_hold(self, call: Call) -> float:
        """Return the maximum number of seconds for which a call is held."""
        return HOLD_SHARE * call.route.target_latency

    def _hold(
        self, call: Call, best: CostEstimate | None, hold_until: float
    ) -> Steps[CostEstimate | None]:
        """Choose again until the choice has capacity or the hold ends; return the last choice.

        Args:
            best: The first choice.
        """
        started = self.clock.now()
        while seconds := self._seconds_to_next_choice(call, best, hold_until):
            yield Sleep(seconds)
            best = yield from self.choose_with_capacity(call)
        call.held_seconds += self.clock.now() - started
        return best

    def _seconds_to_next_choice(
        self, call: Call, best: CostEstimate | None, hold_until: float
    ) -> float:
        """Return the seconds after which a held call chooses again, 0.0 if the hold ends."""
        now = self.clock.now()
        if best is not None or self._lacks_connections(call, best):
            no_capacity = best is None or self.lacks_capacity(call, best)
            return HOLD_POLL_INTERVAL if no_capacity and now < hold_until else 0.0
        tried_ids = call.tried_ids
        later = [upstream for upstream in self._chosen_later(call) if upstream.id not in tried_ids]
        if not later:
            return 0.0
        seconds = max(HOLD_POLL_INTERVAL, self._wait(call, later))
        return seconds if now + seconds < hold_until else 0.0

    def _lacks_connections(self, call: Call, best: CostEstimate | None) -> bool:
        """Return whether nothing was chosen, and only connections to some upstream were lacking."""
        return best is None and Exclusion.NO_CONNECTION.value in call.excluded.values()

    def _chosen_later(self, call: Call) -> list[Upstream]:
        """Return the candidates of the call's service that rest or have a limit."""
        candidates = self.candidates.for_service(call.service).all
        return [upstream for upstream in candidates if self.policy.may_be_chosen_later(upstream)]

    def _wait(self, call: Call, upstreams: list[Upstream]) -> float:
        """Return the seconds after which any of the upstreams may be chosen."""
        return min(self.policy.wait(upstream, call.route.priority) for upstream in upstreams)

    def _refusal(self, call: Call, upstreams: list[Upstream]) -> Refusal:
        """Return the refusal of a call whose upstreams may all be chosen only later."""
        now, priority = self.clock.now(), call.route.priority
        first = min(upstreams, key=lambda upstream: self.policy.wait(upstream, priority))
        if not first.stats.rest.is_active(now):
            rate = self.policy.permits.rate(call.service)
            return at_limit(self.returns.retry_after(call.service, priority, rate, now))
        rest = first.stats.rest.seconds_left(now)
        rate = self._rate_after_rest(call, upstreams, rest)
        return resting(self.returns.retry_after(call.service, priority, rate, now, rest))

    def _rate_after_rest(self, call: Call, upstreams: list[Upstream], rest: float) -> float:
        """Return this VM's share of the calls per second that upstreams can run after a rest.

        Upstreams whose rests end about then count; other VMs that they have turned away return too.
        """
        end = rest + MAX_RETURN_SECONDS
        back = [u for u in upstreams if self.policy.wait(u, call.route.priority) <= end]
        slots = sum(upstream.record.slots for upstream in back)
        return slots / self.route_stats.work(call) / max(1, self.vm_count)

    def _requirements(self, call: Call) -> CallRequirements:
        return CallRequirements(
            self.route_stats.work(call),
            call.late_at - self.clock.now(),
            call.route.target_latency,
            self.route_stats.transfer_cost(call),
            call.deadline - self.clock.now(),
            self.overload.ratio(call.service, self.clock.now()),
        )

    def _best(self, call: Call, upstreams: list[Upstream]) -> CostEstimate | None:
        """Return the upstream of the lowest cost, one that may have no room only if all may not."""
        now = self.clock.now()
        requirements = self._requirements(call)
        estimates = [
            estimate_cost(requirements, upstream, now)
            for upstream in upstreams
            if self._is_still_usable(call, upstream)
        ]
        estimates.sort(key=lambda one: (may_lack_room(one), one.cost))
        call.considered = estimates[:LOGGED_ESTIMATES] or call.considered
        return estimates[0] if estimates else None
