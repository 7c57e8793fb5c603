"""A modelled VM: the daemon's decisions, with simulated time and words in place of a network."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from ..balancing.allowance import ProbeAllowance
from ..balancing.budget import RetryBudget
from ..balancing.call import Call, Ending, Try
from ..balancing.candidates import Candidates, UpstreamSource
from ..balancing.chooser import Chooser
from ..balancing.costs import Costs
from ..balancing.dispatch import Dispatch
from ..balancing.evidence import ANSWER_LIMIT, HEARSAY, OpenCall
from ..balancing.hedging import Hedging
from ..balancing.learning import Learning, News
from ..balancing.load import UpstreamLoad
from ..balancing.patience import Patience
from ..balancing.steps import Ask, GiveUp, Pause, Remind, Send, Step
from ..balancing.upstream import Upstream, UpstreamRecord
from ..exceptions import Refusal
from .agenda import Agenda
from .scene import Scene
from .upstream import Job, ModelUpstream

RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK = 0.2, 10.0, 60.0
"""Repeats for each call, seconds that they are counted over, and those allowed beside them."""


class ModelCall(Call):
    """A call on its way through a VM.

    Attributes:
        work: Seconds of work that it needs.
        answered: Called with the status of the answer and the pause that a refusal tells.
    """

    __slots__ = ("work", "answered", "way", "jobs", "turn")

    def __init__(self, arrived: float, work: float, answered: Callable[[int, float | None], None]):
        super().__init__(arrived)
        self.work = work
        self.answered = answered
        self.way = None
        self.jobs: dict[Try, Job] = {}
        self.turn = 0


class Listed(UpstreamSource):
    """The upstreams that a VM knows of: all, from the start."""

    def __init__(self, models: list[ModelUpstream], place: int):
        self.models = {model.id: model for model in models}
        self.by_id: dict[str, Upstream] = {}
        self.by_service: dict[str, list[Upstream]] = {}
        for model in models:
            record = UpstreamRecord(
                model.id, model.terms.name, "", str(model.place), model.terms.slots, False, 0.0, ""
            )
            upstream = Upstream(record, model.place == place, 0.0)
            self.by_id[model.id] = upstream
            self.by_service.setdefault(model.terms.name, []).append(upstream)

    def of_service(self, service: str) -> list[Upstream]:
        return self.by_service.get(service, [])


class ModelVm(News):
    """One VM.

    Args:
        make_chooser: Makes its way to choose upstreams.

    Attributes:
        peers: The other VMs of its data centre, which hear of its calls.
        deaf: It neither hears nor tells anything.
        asked: Health checks that it sent.
    """

    def __init__(
        self,
        number: int,
        scene: Scene,
        models: list[ModelUpstream],
        agenda: Agenda,
        random: Random,
        make_chooser: Callable[..., Chooser],
    ):
        self.name = f"vm-{number}"
        self.place = number % scene.data_centres
        self.scene = scene
        self.models = models
        self.agenda = agenda
        self.random = random
        self.make_chooser = make_chooser
        self.peers: list[ModelVm] = []
        self.deaf = False
        self.asked = 0
        self.retired: list[Dispatch] = []
        self.restart()

    def restart(self) -> None:
        """Begin with nothing known."""
        self.known = Listed(self.models, self.place)
        self.allowance = ProbeAllowance(self.scene.probes_per_second)
        self.allowance.vms = self.scene.vms
        self.patience = Patience()
        costs = Costs(self.scene.far_megabyte)
        chooser = self.make_chooser(Candidates(self.name, self.known), costs, self)
        self.dispatch = Dispatch(
            chooser,
            Hedging(chooser, costs, self.agenda),
            Learning(costs, self),
            self.agenda,
            lambda: RetryBudget(RETRY_RATIO, RETRY_WINDOW, RETRY_SLACK),
        )
        self.retired.append(self.dispatch)

    def take(self, call: ModelCall, patience: float) -> None:
        """A call has come whose route is known already."""
        call.fall_under(call.route, patience)
        call.has_waited(self.patience.waited(call.route.name, patience))
        call.way = self.dispatch.way(call)
        self._go_on(call, None)

    def leave(self, call: ModelCall) -> None:
        """The caller has left."""
        if call.way is not None:
            self._over(call)

    def _go_on(self, call: ModelCall, found: Try | None) -> None:
        """Take the next step of a call."""
        call.turn += 1
        try:
            step = call.way.send(found)
        except StopIteration as end:
            self._answer(call, end.value.status, None)
        except Refusal as refusal:
            self._answer(call, refusal.status, refusal.retry_after)
        else:
            self._take(call, step)

    def _answer(self, call: ModelCall, status: int, pause: float | None) -> None:
        self._over(call)
        call.answered(status, pause)

    def _over(self, call: ModelCall) -> None:
        call.way = None
        call.turn += 1
        for attempt in call.open:
            self._give_up(call, attempt)
            if attempt.ending is Ending.CANCELLED:
                self.dispatch.learning.ended(call, attempt)

    def _take(self, call: ModelCall, step: Step) -> None:
        if isinstance(step, Ask):
            self._ask(call, step)
        elif isinstance(step, Remind):
            self._probe(step.upstream, None)
            self._later(call, 0.0, None)
        elif isinstance(step, Pause):
            self._later(call, step.seconds, None)
        elif isinstance(step, Send):
            self._later(call, 0.0, self._send(call, step))
        elif isinstance(step, GiveUp):
            self._give_up(call, step.attempt)
            self._later(call, 0.0, None)
        else:
            self._wait(call, step.until)

    def _later(self, call: ModelCall, seconds: float, found: Try | None) -> None:
        self.agenda.after(seconds, self._resume, call, call.turn, found)

    def _resume(self, call: ModelCall, turn: int, found: Try | None) -> None:
        if call.turn == turn and call.way is not None:
            self._go_on(call, found)

    def _wait(self, call: ModelCall, until: float) -> None:
        ended = [attempt for attempt in call.open if attempt.ending is not None]
        if ended:
            self._later(call, 0.0, ended[0])
        else:
            self._later(call, max(0.0, until - self.agenda.now()), None)

    def _one_way(self, upstream: Upstream) -> float:
        return self.scene.near if upstream.near else self.scene.far

    def _ask(self, call: ModelCall, step: Ask) -> None:
        count = len(self.known.by_id)
        given = self.allowance.take(len(step.upstreams), count, self.agenda.now())
        turn, left = call.turn, given

        def answered() -> None:
            nonlocal left
            left -= 1
            if left == 0:
                self._resume(call, turn, None)

        for upstream in step.upstreams[:given]:
            self._probe(upstream, answered)
        self._later(call, step.patience if given else 0.0, None)

    def _probe(self, upstream: Upstream, answered: Callable[[], None] | None) -> None:
        self.asked += 1
        upstream.evidence.asked(self.agenda.now())
        model, way = self.known.models[upstream.id], self._one_way(upstream)
        if model.dark:
            self.agenda.after(ANSWER_LIMIT, self._ignored, upstream)
            return

        def arrive() -> None:
            self.agenda.after(way, back, model.load())

        def back(load: UpstreamLoad) -> None:
            upstream.evidence.answered_probe(True)
            self.reported(upstream, load)
            if answered is not None:
                answered()

        self.agenda.after(way, arrive)

    def _ignored(self, upstream: Upstream) -> None:
        upstream.evidence.ignored_probe(self.agenda.now())

    def _send(self, call: ModelCall, step: Send) -> Try:
        upstream, now = step.weighed.upstream, self.agenda.now()
        attempt = Try(step.weighed, now)
        attempt.sent = True
        opened = OpenCall(now, step.weighed.expected)
        upstream.evidence.began(opened)
        upstream.evidence.sent()
        self._tell(upstream, lambda known: known.evidence.sent())
        model, way = self.known.models[upstream.id], self._one_way(upstream)
        job = Job(call.work, call.deadline, lambda status: self.agenda.after(way, over, status))

        def over(status: int) -> None:
            self._ended(call, attempt, opened, status, model)

        call.jobs[attempt] = job
        self.agenda.after(way, model.take, job)
        return attempt

    def _ended(
        self, call: ModelCall, attempt: Try, opened: OpenCall, status: int, model: ModelUpstream
    ) -> None:
        if attempt.ending is not None:
            return
        attempt.upstream.evidence.ended(opened)
        attempt.ended_at = self.agenda.now()
        attempt.load = model.load()
        attempt.status = status
        attempt.ending = Ending.ANSWERED if status else Ending.NOT_RUN
        call.jobs.pop(attempt)
        if call.way is not None:
            self._later(call, 0.0, attempt)

    def _give_up(self, call: ModelCall, attempt: Try) -> None:
        """Close the connection of an attempt: the upstream drops the work."""
        if attempt.ending is not None:
            return
        attempt.ending, attempt.ended_at = Ending.CANCELLED, self.agenda.now()
        evidence = attempt.upstream.evidence
        evidence.ended(next(o for o in evidence.open_calls if o.started == attempt.started))
        model = self.known.models[attempt.upstream.id]
        self.agenda.after(self._one_way(attempt.upstream), model.drop, call.jobs.pop(attempt))

    def reported(self, upstream: Upstream, load: UpstreamLoad) -> None:
        now = self.agenda.now()
        upstream.evidence.reported(load, now)
        self._tell(upstream, lambda known: known.evidence.reported(load, self.agenda.now()))

    def failed(self, upstream: Upstream) -> None:
        upstream.evidence.failed(self.agenda.now())
        self._tell(upstream, lambda known: known.evidence.failed(self.agenda.now(), HEARSAY))

    def was_replaced(self, upstream: Upstream) -> None:
        """Nothing is replaced in the model."""

    def _tell(self, upstream: Upstream, enter: Callable[[Upstream], None]) -> None:
        """Let the others of the data centre know, unless the word is lost."""
        if self.deaf or not upstream.near:
            return
        for peer in self.peers:
            if not peer.deaf and self.random.random() >= self.scene.words_lost:
                self.agenda.after(self.scene.near, enter, peer.known.by_id[upstream.id])
