"""Modelled callers: they come, come back after a refusal as it says or at once, and leave."""

from __future__ import annotations

from random import Random

from ..balancing.routes import Route, Target
from .agenda import Agenda
from .figures import Outcome, Record
from .scene import Kind
from .vm import ModelCall, ModelVm

LONGEST_PAUSE_SHARE = 1 / 3
"""Part of the time that a caller has left up to which it keeps to the pause that it is told."""

LEAST_PATIENCE = 0.85
"""Part of its kind's deadline that a caller waits at least; the users' differ by that much."""

OWN_PAUSE = 0.1
"""Seconds after which a caller comes back that was told no pause, or does not keep to it."""


def route_of(kind: Kind) -> Route:
    """Return the terms that calls of a kind fall under."""
    target = (Target(kind.service, 1.0),)
    attempts = 2 if kind.idempotent else 1
    return Route(
        kind.name,
        b"/",
        kind.idempotent,
        kind.timeout,
        kind.target,
        attempts,
        int(kind.priority),
        target,
    )


class Errand:
    """What one caller wants, however often it must come for it.

    Attributes:
        patience: Seconds that the caller waits in all.
        abusive: How many times more it comes back, and at once; 0 for most.
    """

    __slots__ = ("kind", "route", "work", "patience", "began", "left", "abusive", "record")

    def __init__(
        self,
        kind: Kind,
        route: Route,
        work: float,
        patience: float,
        began: float,
        abusive: int,
    ):
        self.kind = kind
        self.route = route
        self.work = work
        self.patience = patience
        self.began = began
        self.left = int(kind.tries) * (1 + abusive)
        self.abusive = abusive
        self.record = Record(kind.name, began, kind.worth, kind.target)


class Callers:
    """All callers of a scene; each call comes to a VM by chance, a later one to another."""

    def __init__(self, vms: list[ModelVm], agenda: Agenda, random: Random):
        self.vms = vms
        self.agenda = agenda
        self.random = random
        self.records: list[Record] = []
        self.abusive_share = 0.0
        self.abuse = 0
        self.factor = 1.0

    def begin(self, kind: Kind, until: float) -> None:
        """Let calls of a kind come until a time."""
        self._next(kind, route_of(kind), until)

    def _next(self, kind: Kind, route: Route, until: float) -> None:
        pause = self.random.expovariate(kind.per_second * self.factor)
        if self.agenda.now() + pause < until:
            self.agenda.after(pause, self._come, kind, route, until)

    def _come(self, kind: Kind, route: Route, until: float) -> None:
        work = kind.work * self.random.lognormvariate(0.0, kind.spread)
        abusive = self.abuse if self.random.random() < self.abusive_share else 0
        patience = kind.deadline * self.random.uniform(LEAST_PATIENCE, 1.0)
        errand = Errand(kind, route, work, patience, self.agenda.now(), abusive)
        self.records.append(errand.record)
        self._call(errand)
        self._next(kind, route, until)

    def _call(self, errand: Errand) -> None:
        now = self.agenda.now()
        patience = errand.began + errand.patience - now
        if patience <= 0.01:
            return
        vm = self.random.choice(self.vms)
        call = ModelCall(now, errand.work, lambda *answer: self._answered(errand, *answer))
        call.route, call.service = errand.route, errand.kind.service
        self.agenda.after(patience, vm.leave, call)
        vm.take(call, patience)

    def _answered(self, errand: Errand, status: int, pause: float | None) -> None:
        now = self.agenda.now()
        if 200 <= status < 300:
            errand.record.served(now, errand.kind.late_worth)
            return
        errand.record.outcome = Outcome.REFUSED if status == 503 else Outcome.FAILED
        may_repeat = errand.kind.idempotent or status == 503
        left = errand.began + errand.patience - now
        if not may_repeat or errand.left <= 0:
            return
        errand.left -= 1
        kept = pause is not None and pause <= LONGEST_PAUSE_SHARE * left and not errand.abusive
        self.agenda.after(pause if kept else OWN_PAUSE, self._call, errand)
