"""The upstreams of one service as this daemon sees them, and the choice among them."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterator, Sequence
from random import Random

from .base import Chooser, Failure, LoadReport, ScoredUpstream
from .drains import DrainLedger
from .ejection import TRIAL_LATENCY_RATIO, Ejector
from .options import PoolOptions
from .suspicions import SUSPECT_LATENCY_RATIO, apply_suspicions, record_suspicion
from .trust import update_trust
from .upstream_state import PoolAverages, UpstreamSpec, UpstreamState

UNSAMPLED_POOL_SIZE = 64
"""Maximum number of upstreams for which each choice considers all of them."""

SAMPLE_SIZE = 32
"""Number of upstreams that a choice in a larger pool samples, so that its cost stays the same."""

MAX_RECENTLY_PROBED = 5
"""Number of recently probed upstreams that a choice in a larger pool considers too."""

SLOW_START_SECONDS = 5.0
"""Seconds over which the share of a cold upstream grows to a full one."""

SLOW_START_MIN_SHARE = 0.1
"""Initial share of the choices that consider a cold upstream."""

MIN_SHED_BACKOFF_SECONDS = 0.02
"""Backoff after a first shed request; doubles with each consecutive one."""

MAX_SHED_BACKOFF_SECONDS = 0.64
"""Maximum backoff after shed requests, before jitter."""

PEER_REPORT_DELAY_SECONDS = 0.05
"""Maximum delay before suspicions of peers take effect, so that many are applied at once."""


class PoolState:
    """The upstreams of one service, updated with each call, answer, failure and report."""

    def __init__(self, name: str, options: PoolOptions, chooser: Chooser, random: Random):
        self.name = name
        self.options = options
        self.chooser = chooser
        self.random = random
        self.averages = PoolAverages()
        self.upstreams: dict[str, UpstreamState] = {}
        self.ejector = Ejector(options.eject_cap, random)
        self.drains = DrainLedger()
        self.usable: list[UpstreamState] = []
        self.cold: list[UpstreamState] = []
        self.recently_probed: deque[UpstreamState] = deque(maxlen=MAX_RECENTLY_PROBED)
        self.refresh_at = float("-inf")

    def configure(self, options: PoolOptions, chooser: Chooser) -> None:
        """Apply changed service options; the measurements stay."""
        self.options = options
        self.ejector.cap = options.eject_cap
        self.chooser = chooser

    def set_upstreams(self, specs: Sequence[UpstreamSpec], now: float) -> None:
        """Apply the configured upstreams; the measurements of those that stay are kept."""
        first = not self.upstreams
        old, self.upstreams = self.upstreams, {}
        for spec in specs:
            upstream = old.get(spec.name)
            if upstream is not None and upstream.address == spec.address:
                del old[spec.name]
                if upstream.drained and not spec.drained:
                    upstream.cold_since = now
                upstream.configure(spec)
            else:
                upstream = self._add(spec, None if first else now)
            self.upstreams[spec.name] = upstream
        for upstream in old.values():
            upstream.gone = True
        self.drains.forget_unknown(self.upstreams)
        self._refresh(now)

    def choose(self, now: float, tried: Collection[str] = ()) -> UpstreamState | None:
        """Return the upstream for the next attempt, or None if there is none."""
        return self.chooser.choose(self._candidates(now, tried), now, self.random, tried)

    def shortlist(
        self, now: float, count: int, tried: Collection[str] = ()
    ) -> Sequence[UpstreamState]:
        """Return the `count` best upstreams for the next attempt, best first."""
        return self.chooser.shortlist(self._candidates(now, tried), now, count, tried)

    def explain(self, now: float) -> list[ScoredUpstream]:
        """Return the scores of the usable upstreams, best first, then the unusable ones and why."""
        if now >= self.refresh_at:
            self._refresh(now)
        scored = self.chooser.explain(self.usable, now)
        for upstream in self.upstreams.values():
            why = self.why_unusable(upstream, now)
            if why:
                scored.append(ScoredUpstream(upstream.name, float("inf"), why))
        return scored

    def why_unusable(self, upstream: UpstreamState, now: float) -> str:
        """Return why the upstream gets no new calls, or an empty string if it may get some."""
        if upstream.gone:
            return "gone from the configuration"
        if upstream.drained:
            return "drained by the operator"
        if upstream.draining is not None:
            return f"draining, incarnation {upstream.draining}"
        if upstream.ejected_until > now:
            return f"ejected for {upstream.ejected_until - now:.2f} s more"
        if upstream.on_trial and upstream.start_times:
            return "on trial with one call in flight"
        if upstream.on_trial and upstream.suspected:
            return "on trial, and other VMs found it bad just now"
        return ""

    def record_send(self, upstream: UpstreamState, now: float) -> None:
        """Record that a call is sent to the upstream."""
        upstream.record_start(now)
        self.averages.record_call(now)
        if upstream.on_trial:
            self._refresh(now)

    def record_answer(
        self,
        upstream: UpstreamState,
        now: float,
        status: int,
        elapsed: float,
        report: LoadReport | None = None,
    ) -> None:
        """Record a complete answer; a 5xx counts as a failure, and its latency is ignored."""
        if status >= 500:
            self.record_failure(upstream, now, Failure.ERROR, elapsed)
            return
        upstream.record_end(now, elapsed)
        upstream.consecutive_sheds = 0
        upstream.record_outcome(now, False)
        upstream.record_latency(now, elapsed)
        self.averages.record_outcome(self.upstreams.values(), now)
        if report is not None:
            upstream.record_report(now, report)
            update_trust(upstream, now)
        if upstream.on_trial:
            self._judge_trial(upstream, now, elapsed > TRIAL_LATENCY_RATIO * self.averages.latency)
        elif self.ejector.should_eject(upstream, now):
            self._eject(upstream, now)

    def record_failure(
        self, upstream: UpstreamState, now: float, failure: Failure, elapsed: float
    ) -> None:
        """Record an attempt that ended without a usable answer."""
        upstream.record_end(now, elapsed)
        if failure in (Failure.CANCELLED, Failure.TIMEOUT):
            self._record_min_latency(upstream, now, elapsed)
        if failure is Failure.SHED:
            self._back_off(upstream, now)
        elif failure is not Failure.CANCELLED:
            self._record_failed_call(upstream, now)
        if upstream.on_trial:
            self._refresh(now)

    def record_peer_load(
        self,
        name: str,
        in_flight: int,
        latency: float,
        suspected: bool,
        age: float,
        sender: str,
        now: float,
    ) -> None:
        """Record a peer's load report on an upstream, and whether the peer suspects it."""
        upstream = self.upstreams.get(name)
        if upstream is None or age < 0.0:
            return
        upstream.record_report(now, LoadReport(in_flight, upstream.slots, age))
        if suspected:
            record_suspicion(upstream, sender, age, now)
        elif upstream.suspected_by.pop(sender, None) is None:
            return
        self.refresh_at = min(self.refresh_at, now + PEER_REPORT_DELAY_SECONDS)

    def undrained_upstreams(self) -> list[UpstreamState]:
        """Return the upstreams that neither are draining nor are drained by the operator."""
        return [u for u in self.upstreams.values() if u.draining is None and not u.drained]

    def possible_suspects(self) -> Iterator[UpstreamState]:
        """Yield upstreams that have calls, are on trial or may be slow.

        A cheap filter to apply before `is_local_suspect`.
        """
        slow = self.averages.latency * SUSPECT_LATENCY_RATIO
        for upstream in self.upstreams.values():
            maybe_slow = upstream.samples and upstream.latency > slow
            if upstream.start_times or upstream.on_trial or maybe_slow:
                yield upstream

    def record_probe(self, name: str, now: float, elapsed: float, report: LoadReport) -> None:
        """Record the load report of a probe; it is neither a success nor a latency of a call."""
        upstream = self.upstreams.get(name)
        if upstream is not None:
            upstream.record_report(now, report)
            self.recently_probed.append(upstream)

    def drain(self, name: str, incarnation: int, now: float) -> bool:
        """Mark an upstream as draining; return whether that changed its state."""
        changed = self.drains.drain(name, incarnation)
        if changed:
            self._apply_drain(name, now)
        return changed

    def resume(self, name: str, incarnation: int, now: float) -> bool:
        """Mark an upstream as active again; return whether that changed its state.

        Only a newer incarnation undoes a drain.
        """
        changed = self.drains.resume(name, incarnation)
        if changed:
            self._apply_drain(name, now)
        return changed

    def dump(self, now: float) -> dict:
        """Return the state of the pool for operators."""
        return {
            "chooser": type(self.chooser).__name__,
            "mean latency ms": round(self.averages.latency * 1000, 2),
            "mean failures": round(self.averages.failure_share, 4),
            "ejections": self.ejector.count,
            "upstreams": {
                u.name: {"state": self.why_unusable(u, now) or "in use", **u.dump(now)}
                for u in self.upstreams.values()
            },
        }

    def _candidates(self, now: float, tried: Collection[str]) -> Sequence[UpstreamState]:
        """Return the upstreams to choose from: all, or a sample of many and those probed last."""
        if now >= self.refresh_at:
            self._refresh(now)
        candidates: Sequence[UpstreamState] = self.usable
        if len(candidates) > UNSAMPLED_POOL_SIZE:
            candidates = self.random.sample(candidates, SAMPLE_SIZE + len(tried))
            candidates += [u for u in self.recently_probed if not self.why_unusable(u, now)]
        if self.cold:
            candidates = self._apply_slow_start(candidates, now)
        return candidates

    def _add(self, spec: UpstreamSpec, cold_since: float | None) -> UpstreamState:
        upstream = UpstreamState(spec, self.averages)
        upstream.cold_since = cold_since
        upstream.draining = self.drains.draining(spec.name)
        return upstream

    def _apply_drain(self, name: str, now: float) -> None:
        upstream = self.upstreams.get(name)
        if upstream is None:
            self.drains.forget_unknown(self.upstreams)
            return
        draining = self.drains.draining(name)
        if upstream.draining is not None and draining is None:
            upstream.cold_since = now
        upstream.draining = draining
        self._refresh(now)

    def _refresh(self, now: float) -> None:
        """Recompute which upstreams are usable, and until when that holds."""
        undrained = self.undrained_upstreams()
        self.usable = [u for u in undrained if not self.why_unusable(u, now)]
        self.refresh_at = apply_suspicions(undrained, self.ejector.max_ejected(len(undrained)), now)
        for upstream in undrained:
            if upstream.ejected_until > now:
                self.refresh_at = min(self.refresh_at, upstream.ejected_until)
            if upstream.cold_since is not None and now - upstream.cold_since >= SLOW_START_SECONDS:
                upstream.cold_since = None
        self.cold = [u for u in self.usable if u.cold_since is not None]
        self.usable = self.usable or undrained
        if self.cold:
            end = min(u.cold_since for u in self.cold) + SLOW_START_SECONDS
            self.refresh_at = min(self.refresh_at, end)

    def _apply_slow_start(
        self, candidates: Sequence[UpstreamState], now: float
    ) -> Sequence[UpstreamState]:
        """Leave cold upstreams out of some choices, of fewer as they warm up."""
        kept = []
        for upstream in candidates:
            if upstream.cold_since is not None:
                share = max(SLOW_START_MIN_SHARE, (now - upstream.cold_since) / SLOW_START_SECONDS)
                if self.random.random() > share:
                    continue
            kept.append(upstream)
        return kept or candidates

    def _judge_trial(self, upstream: UpstreamState, now: float, bad: bool) -> None:
        if self.ejector.judge_trial(upstream, now, bad):
            self._eject(upstream, now)
        self._refresh(now)

    def _eject(self, upstream: UpstreamState, now: float) -> None:
        undrained = self.undrained_upstreams()
        ejected = sum(u.ejected_until > now or u.on_trial for u in undrained if u is not upstream)
        if self.ejector.eject(upstream, now, ejected, len(undrained)):
            self._refresh(now)

    def _record_min_latency(self, upstream: UpstreamState, now: float, elapsed: float) -> None:
        """Record `elapsed` seconds without an answer as a latency if they exceed the estimate."""
        if elapsed > self.averages.latency * max(1.0, upstream.latency_ratio(now)):
            upstream.record_latency(now, elapsed)
            if self.ejector.should_eject(upstream, now):
                self._eject(upstream, now)

    def _back_off(self, upstream: UpstreamState, now: float) -> None:
        backoff = min(
            MAX_SHED_BACKOFF_SECONDS, MIN_SHED_BACKOFF_SECONDS * 2**upstream.consecutive_sheds
        )
        upstream.shed_until = now + backoff * self.random.uniform(0.75, 1.25)
        upstream.consecutive_sheds += 1

    def _record_failed_call(self, upstream: UpstreamState, now: float) -> None:
        upstream.record_outcome(now, True)
        self.averages.record_outcome(self.upstreams.values(), now)
        if upstream.on_trial or self.ejector.should_eject(upstream, now):
            self._eject(upstream, now)
