"""All upstreams of one service as one daemon sees them, and the choice between them."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from random import Random

from .base import Chooser, Failure, LoadReport, Weighed
from .ejection import TRIAL_LATENCY, Ejector
from .evidence import PoolAverages, UpstreamEvidence, UpstreamSpec

SMALL_POOL = 64
"""Upstreams up to which every choice looks at all of them."""

SAMPLE = 32
"""Upstreams that a choice looks at in a larger pool, so that its cost stays flat."""

SLOW_START = 5.0
"""Seconds over which the share of a cold upstream grows to a full one."""

FIRST_SHARE = 0.1
"""Share of a full upstream's chances that a cold one starts with."""

SHED_PAUSE = 0.02
"""Seconds for which a first refusal keeps work away; doubles with each in a row."""

LONGEST_SHED_PAUSE = 0.64
"""Seconds for which refusals keep work away at most."""

SUSPICION_TIME = 2.0
"""Seconds for which another VM's suspicion counts."""

FEWEST_SUSPECTING = 2
"""Other VMs that must suspect an upstream before it counts."""

TRUST_LOSS = 0.9
"""Factor on trust for each answer that contradicts the upstream's reports."""

TRUST_GAIN = 0.02
"""Trust that each answer in agreement with them gives back."""

LIE_LATENCY = 1.5
"""Latency, as a multiple of the pool's, with which a report under the average disagrees."""

SUSPECT_OVERDUE = 4.0
"""Age of a call in flight, as a multiple of the pool's latency, that makes a suspect."""

SUSPECT_SLOWNESS = 2.0
"""Latency, as a multiple of the pool's, that makes a suspect."""

REMEMBERED_DRAINS = 256
"""Incarnations kept for upstreams that the configuration does not name (yet)."""


class PoolOptions:
    """A service's options that the choice depends on.

    Attributes:
        eject_cap: Share of the upstreams that may be ejected at a time.
        tail_weight: 0 = the cost of measuring counts most, 1 = tail latency does.
        probes_per_1000: Probes paid by 1,000 calls.
    """

    __slots__ = ("eject_cap", "tail_weight", "probes_per_1000")

    def __init__(
        self, eject_cap: float = 0.3, tail_weight: float = 0.5, probes_per_1000: float = 0.0
    ):
        self.eject_cap = eject_cap
        self.tail_weight = tail_weight
        self.probes_per_1000 = probes_per_1000


class PoolState:
    """The candidates of one service; told of every call, answer, failure and word about them."""

    def __init__(self, name: str, options: PoolOptions, chooser: Chooser, random: Random):
        self.name = name
        self.options = options
        self.chooser = chooser
        self.random = random
        self.averages = PoolAverages()
        self.upstreams: dict[str, UpstreamEvidence] = {}
        self.ejector = Ejector(options.eject_cap, random)
        self.incarnations: dict[str, tuple[int, bool]] = {}
        self.usable: list[UpstreamEvidence] = []
        self.cold: list[UpstreamEvidence] = []
        self.stale_at = float("-inf")

    def set_upstreams(self, specs: Sequence[UpstreamSpec], now: float) -> None:
        """Take over the configured upstreams; evidence of those that stay is kept."""
        first = not self.upstreams
        old, self.upstreams = self.upstreams, {}
        for spec in specs:
            evidence = old.pop(spec.name, None)
            if evidence is not None and evidence.address == spec.address:
                if evidence.drained and not spec.drained:
                    evidence.cold_since = now
                evidence.configure(spec)
            else:
                evidence = self._add(spec, None if first else now)
            self.upstreams[spec.name] = evidence
        for evidence in old.values():
            evidence.gone = True
        self._refresh(now)

    def choose(self, now: float, tried: Collection[str] = ()) -> UpstreamEvidence | None:
        """Return the upstream for the next attempt, or None if there is none to use."""
        if now >= self.stale_at:
            self._refresh(now)
        candidates = self._warm_enough(now) if self.cold else self.usable
        if len(candidates) > SMALL_POOL:
            candidates = self._sample(candidates, tried)
        return self.chooser.choose(candidates, now, self.random, tried)

    def explain(self, now: float) -> list[Weighed]:
        """Return how each upstream weighs now, best first, then those that get no work."""
        if now >= self.stale_at:
            self._refresh(now)
        weighed = self.chooser.explain(self.usable, now)
        for upstream in self.upstreams.values():
            why = self.why_unusable(upstream, now)
            if why:
                weighed.append(Weighed(upstream.name, float("inf"), why))
        return weighed

    def why_unusable(self, upstream: UpstreamEvidence, now: float) -> str:
        """Return why the upstream gets no new work, or an empty string if it may."""
        if upstream.gone:
            return "gone from the configuration"
        if upstream.drained:
            return "drained by the operator"
        if upstream.draining is not None:
            return f"draining, incarnation {upstream.draining}"
        if upstream.ejected_until > now:
            return f"ejected for {upstream.ejected_until - now:.2f} s more"
        if upstream.on_trial and upstream.starts:
            return "on trial with one call in flight"
        return ""

    def sent(self, evidence: UpstreamEvidence, now: float) -> None:
        """A call goes to the upstream."""
        evidence.started(now)
        if evidence.on_trial:
            self._refresh(now)

    def answered(
        self,
        evidence: UpstreamEvidence,
        now: float,
        status: int,
        elapsed: float,
        report: LoadReport | None = None,
    ) -> None:
        """A whole answer came; a 5xx counts as a failure, and its speed as no virtue."""
        if status >= 500:
            self.failed(evidence, now, Failure.ERROR, elapsed)
            return
        evidence.ended(now, elapsed)
        evidence.sheds_in_row = 0
        evidence.learn_outcome(now, False)
        evidence.learn_latency(now, elapsed)
        self.averages.count(self.upstreams.values(), now)
        if report is not None:
            evidence.learn_report(now, report)
            self._weigh_trust(evidence, now, elapsed)
        if evidence.on_trial:
            self._judge_trial(evidence, now, elapsed > TRIAL_LATENCY * self.averages.latency)
        elif self.ejector.should_eject(evidence, now):
            self._eject(evidence, now)

    def failed(
        self, evidence: UpstreamEvidence, now: float, failure: Failure, elapsed: float
    ) -> None:
        """An attempt ended without a usable answer."""
        evidence.ended(now, elapsed)
        if failure is Failure.CANCELLED:
            self._cancelled(evidence, now, elapsed)
        elif failure is Failure.SHED:
            self._shed(evidence, now)
        else:
            self._failed(evidence, now)
        if evidence.on_trial:
            self._refresh(now)

    def heard(
        self,
        name: str,
        in_flight: int,
        latency: float,
        suspect: bool,
        age: float,
        sender: str,
        now: float,
    ) -> None:
        """Another VM's word on an upstream: a report like its own, and at most a suspicion."""
        upstream = self.upstreams.get(name)
        if upstream is None or age < 0.0:
            return
        upstream.learn_report(now, LoadReport(in_flight, upstream.slots, age))
        if suspect and age < SUSPICION_TIME:
            upstream.suspected_by[sender] = now + SUSPICION_TIME - age
        else:
            upstream.suspected_by.pop(sender, None)
        self._refresh(now)

    def suspect(self, upstream: UpstreamEvidence, now: float) -> bool:
        """Return whether something speaks against the upstream, so that a probe pays best there."""
        return upstream.suspected or self.suspects_itself(upstream, now)

    def suspects_itself(self, upstream: UpstreamEvidence, now: float) -> bool:
        """Return whether this VM's own calls speak against the upstream; only that is told on."""
        return (
            upstream.on_trial
            or upstream.overdue(now) > SUSPECT_OVERDUE
            or (upstream.samples > 0 and upstream.slowness(now) > SUSPECT_SLOWNESS)
        )

    def noticeable(self) -> Iterator[UpstreamEvidence]:
        """Yield upstreams at work or perhaps slow: a cheap test before `suspects_itself`."""
        slow = self.averages.latency * SUSPECT_SLOWNESS
        for upstream in self.upstreams.values():
            if (
                upstream.starts
                or upstream.on_trial
                or (upstream.latency > slow and upstream.samples)
            ):
                yield upstream

    def probe_candidates(self) -> Sequence[UpstreamEvidence]:
        """Return the upstreams that a probe may be spent on: all, or a sample of many."""
        staying = [u for u in self.upstreams.values() if u.draining is None and not u.drained]
        return staying if len(staying) <= SMALL_POOL else self.random.sample(staying, SAMPLE)

    def probed(self, name: str, now: float, elapsed: float, report: LoadReport) -> None:
        """A probe was answered: a report like any other, but no proof that calls go well."""
        upstream = self.upstreams.get(name)
        if upstream is not None:
            upstream.learn_report(now, report)

    def drain(self, name: str, incarnation: int, now: float) -> bool:
        """The upstream is leaving; return whether that is news."""
        known, leaving = self.incarnations.get(name, (-1, False))
        if incarnation < known or (incarnation == known and leaving):
            return False
        return self._set_leaving(name, incarnation, True, now)

    def resume(self, name: str, incarnation: int, now: float) -> bool:
        """The upstream is back; only a newer incarnation undoes a drain. Return if that is news."""
        if incarnation <= self.incarnations.get(name, (-1, False))[0]:
            return False
        return self._set_leaving(name, incarnation, False, now)

    def dump(self, now: float) -> dict:
        """Describe the state of the pool for operators."""
        return {
            "chooser": type(self.chooser).__name__,
            "mean latency ms": round(self.averages.latency * 1000, 2),
            "mean failures": round(self.averages.failures, 4),
            "ejections": self.ejector.count,
            "upstreams": {u.name: self._describe(u, now) for u in self.upstreams.values()},
        }

    def _describe(self, upstream: UpstreamEvidence, now: float) -> dict:
        return {
            "address": upstream.address,
            "state": self.why_unusable(upstream, now) or "in use",
            "in flight": upstream.in_flight,
            "load per slot": round(upstream.load(now), 2),
            "report age ms": _age_ms(upstream.report_at, now),
            "latency ms": round(upstream.latency * 1000, 2),
            "latency age ms": _age_ms(upstream.latency_at, now),
            "failures": round(upstream.failure_share(now), 3),
            "trust": round(upstream.trust, 2),
            "suspected by": sorted(upstream.suspected_by),
        }

    def _add(self, spec: UpstreamSpec, cold_since: float | None) -> UpstreamEvidence:
        evidence = UpstreamEvidence(spec, self.averages)
        evidence.cold_since = cold_since
        incarnation, leaving = self.incarnations.get(spec.name, (-1, False))
        if leaving:
            evidence.draining = incarnation
        return evidence

    def _set_leaving(self, name: str, incarnation: int, leaving: bool, now: float) -> bool:
        self.incarnations.pop(name, None)
        self.incarnations[name] = (incarnation, leaving)
        self._forget_strangers()
        upstream = self.upstreams.get(name)
        if upstream is not None:
            if upstream.draining is not None and not leaving:
                upstream.cold_since = now
            upstream.draining = incarnation if leaving else None
            self._refresh(now)
        return True

    def _forget_strangers(self) -> None:
        strangers = [name for name in self.incarnations if name not in self.upstreams]
        for name in strangers[:-REMEMBERED_DRAINS]:
            del self.incarnations[name]

    def _refresh(self, now: float) -> None:
        """Work out anew which upstreams may be used, and until when that holds."""
        self.stale_at = float("inf")
        staying = [u for u in self.upstreams.values() if u.draining is None and not u.drained]
        self.usable = [u for u in staying if not self.why_unusable(u, now)]
        self._weigh_suspicions(staying, now)
        for upstream in staying:
            if upstream.ejected_until > now:
                self.stale_at = min(self.stale_at, upstream.ejected_until)
            if upstream.cold_since is not None and now - upstream.cold_since >= SLOW_START:
                upstream.cold_since = None
        self.cold = [u for u in self.usable if u.cold_since is not None]
        self.usable = self.usable or staying
        if self.cold:
            end = min(u.cold_since for u in self.cold) + SLOW_START
            self.stale_at = min(self.stale_at, end)

    def _weigh_suspicions(self, staying: list[UpstreamEvidence], now: float) -> None:
        """Count an upstream as suspected if several VMs say so, and not of too many at once."""
        suspected = []
        for upstream in staying:
            upstream.suspected = False
            if not upstream.suspected_by:
                continue
            live = {vm: end for vm, end in upstream.suspected_by.items() if end > now}
            upstream.suspected_by = live
            if live:
                self.stale_at = min(self.stale_at, *live.values())
            if len(live) >= FEWEST_SUSPECTING:
                suspected.append(upstream)
        if len(suspected) <= self.ejector.allowed(len(staying)):
            for upstream in suspected:
                upstream.suspected = True

    def _warm_enough(self, now: float) -> list[UpstreamEvidence]:
        """Leave each cold upstream out of some choices, of fewer as it warms up."""
        left_out = set()
        for upstream in self.cold:
            share = max(FIRST_SHARE, (now - upstream.cold_since) / SLOW_START)
            if self.random.random() > share:
                left_out.add(upstream.name)
        return [u for u in self.usable if u.name not in left_out] or self.usable

    def _sample(
        self, candidates: list[UpstreamEvidence], tried: Collection[str]
    ) -> list[UpstreamEvidence]:
        """Return some of many candidates at random, among them one that is not tried."""
        return self.random.sample(candidates, SAMPLE + len(tried))

    def _weigh_trust(self, upstream: UpstreamEvidence, now: float, elapsed: float) -> None:
        """Lower the trust in reports of little load from an upstream that answers slowly."""
        says_idle = upstream.others / upstream.slots < self.averages.others
        if says_idle and upstream.slowness(now) > LIE_LATENCY:
            upstream.trust *= TRUST_LOSS
        else:
            upstream.trust = min(1.0, upstream.trust + TRUST_GAIN)

    def _judge_trial(self, upstream: UpstreamEvidence, now: float, bad: bool) -> None:
        if self.ejector.judge_trial(upstream, now, bad):
            self._eject(upstream, now)
        self._refresh(now)

    def _eject(self, upstream: UpstreamEvidence, now: float) -> None:
        staying = [u for u in self.upstreams.values() if u.draining is None and not u.drained]
        ejected = sum(u.ejected_until > now or u.on_trial for u in staying if u is not upstream)
        if self.ejector.eject(upstream, now, ejected, len(staying)):
            self._refresh(now)

    def _cancelled(self, upstream: UpstreamEvidence, now: float, elapsed: float) -> None:
        """The answer would have taken at least `elapsed`: learn that if it is long."""
        if elapsed > self.averages.latency * max(1.0, upstream.slowness(now)):
            upstream.learn_latency(now, elapsed)
            if self.ejector.should_eject(upstream, now):
                self._eject(upstream, now)

    def _shed(self, upstream: UpstreamEvidence, now: float) -> None:
        pause = min(LONGEST_SHED_PAUSE, SHED_PAUSE * 2**upstream.sheds_in_row)
        upstream.shed_until = now + pause * self.random.uniform(0.75, 1.25)
        upstream.sheds_in_row += 1

    def _failed(self, upstream: UpstreamEvidence, now: float) -> None:
        upstream.learn_outcome(now, True)
        self.averages.count(self.upstreams.values(), now)
        if upstream.on_trial or self.ejector.should_eject(upstream, now):
            self._eject(upstream, now)


def _age_ms(at: float, now: float) -> float | None:
    return None if at == float("-inf") else round((now - at) * 1000, 1)
