"""A modelled upstream: slots, a queue, neighbours, a knee, faults. Work goes on at its speed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from ..balancing.load import UpstreamLoad
from .agenda import Agenda
from .scene import Service

DONE = 1e-9
"""Seconds of work below which a job is done."""


class Job:
    """A call at an upstream.

    Attributes:
        left: Seconds of work that it still needs where nothing slows it.
        give_up_at: When the upstream stops work, since its caller has left.
        ended: Called with the status of the answer; 0 if it was not run.
    """

    __slots__ = ("left", "give_up_at", "ended")

    def __init__(self, work: float, give_up_at: float, ended: Callable[[int], None]):
        self.left = work
        self.give_up_at = give_up_at
        self.ended = ended


class ModelUpstream:
    """One upstream.

    Attributes:
        slow: How many times longer work takes there because of a fault.
        shed: Share of the calls that it refuses.
        dark: It answers nothing.
        noisy: How many times longer work takes because of neighbours, which it reports.
    """

    def __init__(self, id: str, place: int, terms: Service, agenda: Agenda, random: Random):
        self.id = id
        self.place = place
        self.terms = terms
        self.agenda = agenda
        self.random = random
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self.slow = 1.0
        self.shed = 0.0
        self.dark = False
        self.noisy = 1.0
        self.at = 0.0
        self.turn = 0

    def load(self) -> UpstreamLoad:
        """Return what it says of its load."""
        return UpstreamLoad(len(self.running), len(self.waiting), self.terms.slots, self.noisy)

    def neighbours_change(self, until: float) -> None:
        """Draw anew whether neighbours slow it; again and again until a time."""
        noisy = self.random.random() < self.terms.noisy_share
        self._advance()
        self.noisy = self.terms.noisy_factor if noisy else 1.0
        self._plan()
        if self.agenda.now() < until:
            pause = self.terms.noisy_every * self.random.uniform(0.8, 1.2)
            self.agenda.after(pause, self.neighbours_change, until)

    def set_fault(self, name: str, value: float) -> None:
        """Begin or end a fault."""
        self._advance()
        setattr(self, name, value)
        self._plan()

    def take(self, job: Job) -> None:
        """A call comes."""
        if self.dark:
            return
        full = len(self.running) + len(self.waiting) >= self.terms.slots + self.terms.queue
        if full or (self.shed and self.random.random() < self.shed):
            job.ended(0)
            return
        self._advance()
        self.waiting.append(job)
        self._plan()

    def drop(self, job: Job) -> None:
        """Its caller has closed the connection: the work on it ends."""
        self._advance()
        if job in self.running:
            self.running.remove(job)
        elif job in self.waiting:
            self.waiting.remove(job)
        self._plan()

    def slowness(self) -> float:
        """Return how many times longer work takes there now."""
        full = len(self.running) > self.terms.full_from * self.terms.slots
        return self.slow * self.noisy * (self.terms.full_factor if full else 1.0)

    def _advance(self) -> None:
        """Do the work that was done since it was looked at last."""
        now = self.agenda.now()
        done = (now - self.at) / self.slowness()
        for job in self.running:
            job.left -= done
        self.at = now

    def _plan(self) -> None:
        """Fill free slots, and come back when the next job is done."""
        while self.waiting and len(self.running) < self.terms.slots:
            job = self.waiting.popleft()
            if job.give_up_at <= self.agenda.now():
                job.ended(0)
                continue
            self.running.append(job)
        self.turn += 1
        if self.running:
            soonest = max(0.0, min(job.left for job in self.running))
            self.agenda.after(soonest * self.slowness(), self._look, self.turn)

    def _look(self, turn: int) -> None:
        if turn != self.turn:
            return
        self._advance()
        now = self.agenda.now()
        ended = [job for job in self.running if job.left <= DONE or job.give_up_at <= now]
        self.running = [job for job in self.running if job not in ended]
        if not self.dark:
            for job in ended:
                job.ended(200 if job.left <= DONE else 504)
        self._plan()
