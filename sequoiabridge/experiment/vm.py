"""Simulated VM: runs the daemon's decisions on simulated time and a simulated network."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..balancing.attempt_recorder import AttemptRecorder, UpstreamObserver
from ..balancing.call import Call, CallAttempt, Ending
from ..balancing.candidates import Candidates, UpstreamSource
from ..balancing.chooser import Chooser
from ..balancing.dispatch import Dispatch
from ..balancing.hedging import Hedging
from ..balancing.load import UpstreamLoad
from ..balancing.prior_wait import PriorWaitEstimator
from ..balancing.probe_limiter import ProbeRateLimiter
from ..balancing.retry_budget import RetryBudget, RetryLimit
from ..balancing.route_stats import RouteStats
from ..balancing.steps import BackgroundProbe, CancelAttempt, Probe, Send, Sleep, Step
from ..balancing.upstream import Upstream, UpstreamRecord
from ..balancing.upstream_stats import PEER_FAILURE_WEIGHT, PROBE_TIMEOUT, OpenCall
from ..exceptions import Refusal
from .scene import Scene
from .scheduler import Scheduler
from .upstream import Job, ModelUpstream

RETRY_LIMIT = RetryLimit(ratio=0.2, window=10.0, slack=60.0)
"""Retry limit of a service in the fleet."""


class ModelCall(Call):
    """A call on its way through a simulated VM.

    Attributes:
        work: Seconds of work at full speed.
        on_answer: Called with the status of the answer and the Retry-After of a refusal in seconds.
        dispatch: The dispatch that runs it, that of the process which received it.
        steps: Remaining steps of its dispatch; None before it begins and after it ends.
        jobs: The job of each attempt that runs.
        generation: Changes with each step; scheduled resumptions of older ones are ignored.
    """

    __slots__ = ("work", "on_answer", "dispatch", "steps", "jobs", "generation")

    def __init__(self, arrived: float, work: float, on_answer: Callable[[int, float | None], None]):
        super().__init__(arrived)
        self.work = work
        self.on_answer = on_answer
        self.dispatch: Dispatch | None = None
        self.steps = None
        self.jobs: dict[CallAttempt, Job] = {}
        self.generation = 0


class StaticUpstreams(UpstreamSource):
    """A fixed list of all upstreams.

    Args:
        data_centre: Data centre of the VM; the upstreams there are local.
    """

    def __init__(self, models: list[ModelUpstream], data_centre: int):
        self.models = {model.id: model for model in models}
        self.by_id: dict[str, Upstream] = {}
        self.by_service: dict[str, list[Upstream]] = {}
        for model in models:
            record = UpstreamRecord(
                model.id,
                model.service.name,
                "",
                str(model.data_centre),
                model.service.slots,
                False,
                0.0,
                "",
            )
            upstream = Upstream(record, model.data_centre == data_centre, 0.0)
            self.by_id[model.id] = upstream
            self.by_service.setdefault(model.service.name, []).append(upstream)

    def for_service(self, service: str) -> list[Upstream]:
        return self.by_service.get(service, [])


class ModelVm(UpstreamObserver):
    """One simulated VM.

    Args:
        make_chooser: Creates its chooser, anew after each restart.

    Attributes:
        peers: The other VMs of its data centre.
        isolated: Neither sends messages to peers nor receives any.
        probes_sent: Number of probes sent.
        dispatches: The current dispatch, last, and those of before each restart.
    """

    def __init__(
        self,
        number: int,
        scene: Scene,
        models: list[ModelUpstream],
        scheduler: Scheduler,
        random: Random,
        make_chooser: Callable[..., Chooser],
    ):
        self.name = f"vm-{number}"
        self.data_centre = number % scene.data_centres
        self.scene = scene
        self.models = models
        self.scheduler = scheduler
        self.random = random
        self.make_chooser = make_chooser
        self.peers: list[ModelVm] = []
        self.isolated = False
        self.probes_sent = 0
        self.dispatches: list[Dispatch] = []
        # The fleet has been running for a while when a scene begins.
        self.restart(started_at=scheduler.now() - RETRY_LIMIT.window)

    def restart(self, started_at: float | None = None) -> None:
        """Discard everything learned and start anew, now or at `started_at`."""
        if started_at is None:
            started_at = self.scheduler.now()
        self.upstreams = StaticUpstreams(self.models, self.data_centre)
        self.probe_limiter = ProbeRateLimiter(self.scene.probes_per_second, started_at)
        self.probe_limiter.vm_count = self.scene.vms
        self.wait_estimator = PriorWaitEstimator()
        route_stats = RouteStats(self.scene.far_megabyte)
        chooser = self.make_chooser(Candidates(self.name, self.upstreams), route_stats, self)
        self.dispatch = Dispatch(
            chooser,
            Hedging(chooser, route_stats, self.scheduler),
            AttemptRecorder(route_stats, self),
            self.scheduler,
            lambda service: RetryBudget(RETRY_LIMIT, lambda now: started_at),
        )
        self.dispatches.append(self.dispatch)

    def accept(self, call: ModelCall, caller_timeout: float) -> None:
        """Start a call, whose route is set already."""
        call.apply_route(call.route, caller_timeout)
        call.add_prior_wait(self.wait_estimator.estimate(call.route.name, caller_timeout))
        call.dispatch = self.dispatch
        call.steps = self.dispatch.run(call)
        self._advance(call, None)

    def abandon(self, call: ModelCall) -> None:
        """End a call, if it still runs, because its caller gave up."""
        if call.steps is not None:
            self._close(call)

    def _advance(self, call: ModelCall, result: CallAttempt | None) -> None:
        """Run the dispatch of a call up to its next step.

        Args:
            result: Attempt that came of the last step, if any.
        """
        call.generation += 1
        try:
            step = call.steps.send(result)
        except StopIteration as end:
            self._answer(call, end.value.status, None)
        except Refusal as refusal:
            self._answer(call, refusal.status, refusal.retry_after)
        else:
            self._execute(call, step)

    def _answer(self, call: ModelCall, status: int, retry_after: float | None) -> None:
        self._close(call)
        call.on_answer(status, retry_after)

    def _close(self, call: ModelCall) -> None:
        call.dispatch.settle(call)
        call.steps = None
        call.generation += 1
        for attempt in call.open_attempts:
            self._cancel(call, attempt)
            if attempt.ending is Ending.CANCELLED:
                self.dispatch.recorder.record(call, attempt)

    def _execute(self, call: ModelCall, step: Step) -> None:
        if isinstance(step, Probe):
            self._probe_all(call, step)
        elif isinstance(step, BackgroundProbe):
            self._probe(step.upstream, None)
            self._resume_later(call, 0.0, None)
        elif isinstance(step, Sleep):
            self._resume_later(call, step.seconds, None)
        elif isinstance(step, Send):
            self._resume_later(call, 0.0, self._send(call, step))
        elif isinstance(step, CancelAttempt):
            self._cancel(call, step.attempt)
            self._resume_later(call, 0.0, None)
        else:
            self._wait(call, step.until)

    def _resume_later(self, call: ModelCall, seconds: float, result: CallAttempt | None) -> None:
        self.scheduler.call_later(seconds, self._resume, call, call.generation, result)

    def _resume(self, call: ModelCall, generation: int, result: CallAttempt | None) -> None:
        if call.generation == generation and call.steps is not None:
            self._advance(call, result)

    def _wait(self, call: ModelCall, until: float) -> None:
        ended = [attempt for attempt in call.open_attempts if attempt.ending is not None]
        if ended:
            self._resume_later(call, 0.0, ended[0])
        else:
            self._resume_later(call, max(0.0, until - self.scheduler.now()), None)

    def _one_way_latency(self, upstream: Upstream) -> float:
        return self.scene.near if upstream.is_local else self.scene.far

    def _probe_all(self, call: ModelCall, step: Probe) -> None:
        count = len(self.upstreams.by_id)
        allowed = self.probe_limiter.take(len(step.upstreams), count, self.scheduler.now())
        generation, pending = call.generation, allowed

        def on_report() -> None:
            nonlocal pending
            pending -= 1
            if pending == 0:
                self._resume(call, generation, None)

        for upstream in step.upstreams[:allowed]:
            self._probe(upstream, on_report)
        self._resume_later(call, step.timeout if allowed else 0.0, None)

    def _probe(self, upstream: Upstream, on_report: Callable[[], None] | None) -> None:
        self.probes_sent += 1
        upstream.stats.record_probe_sent(self.scheduler.now())
        model, latency = self.upstreams.models[upstream.id], self._one_way_latency(upstream)
        if model.unresponsive:
            self.scheduler.call_later(PROBE_TIMEOUT, self._probe_timed_out, upstream)
            return

        def answer() -> None:
            self.scheduler.call_later(latency, receive, model.load())

        def receive(load: UpstreamLoad) -> None:
            upstream.stats.record_probe_answer(True)
            self.record_load_report(upstream, load)
            if on_report is not None:
                on_report()

        self.scheduler.call_later(latency, answer)

    def _probe_timed_out(self, upstream: Upstream) -> None:
        upstream.stats.record_probe_failure(self.scheduler.now())

    def _send(self, call: ModelCall, step: Send) -> CallAttempt:
        upstream, now = step.estimate.upstream, self.scheduler.now()
        attempt = CallAttempt(step.estimate, now)
        attempt.sent = True
        open_call = OpenCall(now, step.estimate.expected_duration)
        upstream.stats.add_open_call(open_call)
        upstream.stats.record_send()
        self._share_with_peers(upstream, lambda entry: entry.stats.record_send())
        model, latency = self.upstreams.models[upstream.id], self._one_way_latency(upstream)
        job = Job(
            call.work,
            call.deadline,
            lambda status: self.scheduler.call_later(latency, on_end, status),
        )

        def on_end(status: int) -> None:
            self._attempt_ended(call, attempt, open_call, status, model)

        call.jobs[attempt] = job
        self.scheduler.call_later(latency, model.submit, job)
        return attempt

    def _attempt_ended(
        self,
        call: ModelCall,
        attempt: CallAttempt,
        open_call: OpenCall,
        status: int,
        model: ModelUpstream,
    ) -> None:
        if attempt.ending is not None:
            return
        attempt.upstream.stats.remove_open_call(open_call)
        attempt.ended_at = self.scheduler.now()
        attempt.load = model.load()
        attempt.status = status
        attempt.ending = Ending.ANSWERED if status else Ending.NOT_RUN
        call.jobs.pop(attempt)
        if call.steps is not None:
            self._resume_later(call, 0.0, attempt)

    def _cancel(self, call: ModelCall, attempt: CallAttempt) -> None:
        """Close the connection of an attempt, so that the upstream drops its job."""
        if attempt.ending is not None:
            return
        attempt.ending, attempt.ended_at = Ending.CANCELLED, self.scheduler.now()
        stats = attempt.upstream.stats
        stats.remove_open_call(next(o for o in stats.open_calls if o.started == attempt.started))
        model = self.upstreams.models[attempt.upstream.id]
        self.scheduler.call_later(
            self._one_way_latency(attempt.upstream), model.cancel, call.jobs.pop(attempt)
        )

    def record_load_report(self, upstream: Upstream, load: UpstreamLoad) -> None:
        now = self.scheduler.now()
        upstream.stats.record_load_report(load, now)
        self._share_with_peers(
            upstream, lambda entry: entry.stats.record_load_report(load, self.scheduler.now())
        )

    def record_failure(self, upstream: Upstream) -> None:
        upstream.stats.record_failure(self.scheduler.now())
        self._share_with_peers(
            upstream,
            lambda entry: entry.stats.record_failure(self.scheduler.now(), PEER_FAILURE_WEIGHT),
        )

    def record_replacement(self, upstream: Upstream) -> None:
        """Do nothing: no address of the model passes to another upstream."""

    def _share_with_peers(self, upstream: Upstream, update: Callable[[Upstream], None]) -> None:
        """Apply an update at each peer after the network latency, unless the message is lost."""
        if self.isolated or not upstream.is_local:
            return
        for peer in self.peers:
            if not peer.isolated and self.random.random() >= self.scene.words_lost:
                self.scheduler.call_later(
                    self.scene.near, update, peer.upstreams.by_id[upstream.id]
                )
