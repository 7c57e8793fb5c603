"""Simulated upstream with slots, a queue, noisy neighbours, overload and faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from ..balancing.load import UpstreamLoad
from .scene import Service
from .scheduler import Scheduler

DONE_THRESHOLD_SECONDS = 1e-9
"""Remaining work up to which a job counts as done; allows for rounding errors."""


class Job:
    """A call at an upstream.

    Attributes:
        remaining: Seconds of work left, at full speed.
        deadline: Simulated time at which its caller gives up and the upstream stops the work.
        on_end: Called with the status of the answer; 0 if the upstream did not run the call.
    """

    __slots__ = ("remaining", "deadline", "on_end")

    def __init__(self, work: float, deadline: float, on_end: Callable[[int], None]):
        self.remaining = work
        self.deadline = deadline
        self.on_end = on_end


class ModelUpstream:
    """One simulated upstream.

    Attributes:
        fault_slowdown: Factor by which a fault prolongs work; not in the load report.
        shed_share: Share of the calls that it rejects.
        unresponsive: Answers neither calls nor probes.
        neighbour_slowdown: Factor by which neighbours prolong work; in the load report.
        advanced_at: Simulated time up to which the work of the running jobs is done.
        generation: Changes with each new schedule; completions of older ones are ignored.
    """

    def __init__(
        self, id: str, data_centre: int, service: Service, scheduler: Scheduler, random: Random
    ):
        self.id = id
        self.data_centre = data_centre
        self.service = service
        self.scheduler = scheduler
        self.random = random
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self.fault_slowdown = 1.0
        self.shed_share = 0.0
        self.unresponsive = False
        self.neighbour_slowdown = 1.0
        self.advanced_at = 0.0
        self.generation = 0

    def load(self) -> UpstreamLoad:
        """Return its load report."""
        return UpstreamLoad(
            len(self.running), len(self.waiting), self.service.slots, self.neighbour_slowdown
        )

    def redraw_neighbours(self, until: float) -> None:
        """Draw the neighbour load at random now, and again at intervals until the time `until`."""
        is_noisy = self.random.random() < self.service.noisy_share
        self._advance()
        self.neighbour_slowdown = self.service.noisy_factor if is_noisy else 1.0
        self._schedule()
        if self.scheduler.now() < until:
            interval = self.service.noisy_every * self.random.uniform(0.8, 1.2)
            self.scheduler.call_later(interval, self.redraw_neighbours, until)

    def set_fault(self, name: str, value: float) -> None:
        """Set the attribute `name`, which begins or ends a fault."""
        self._advance()
        setattr(self, name, value)
        self._schedule()

    def submit(self, job: Job) -> None:
        """Queue a call; reject it if the queue is full or a fault makes the upstream shed calls."""
        if self.unresponsive:
            return
        full = len(self.running) + len(self.waiting) >= self.service.slots + self.service.queue
        if full or (self.shed_share and self.random.random() < self.shed_share):
            job.on_end(0)
            return
        self._advance()
        self.waiting.append(job)
        self._schedule()

    def cancel(self, job: Job) -> None:
        """Drop a call whose connection was closed."""
        self._advance()
        if job in self.running:
            self.running.remove(job)
        elif job in self.waiting:
            self.waiting.remove(job)
        self._schedule()

    def slowdown(self) -> float:
        """Return the factor by which work takes longer now."""
        full = len(self.running) > self.service.full_from * self.service.slots
        return (
            self.fault_slowdown
            * self.neighbour_slowdown
            * (self.service.full_factor if full else 1.0)
        )

    def _advance(self) -> None:
        """Subtract the work done since the last update from the running jobs."""
        now = self.scheduler.now()
        done = (now - self.advanced_at) / self.slowdown()
        for job in self.running:
            job.remaining -= done
        self.advanced_at = now

    def _schedule(self) -> None:
        """Fill free slots from the queue and schedule the next completion."""
        while self.waiting and len(self.running) < self.service.slots:
            job = self.waiting.popleft()
            if job.deadline <= self.scheduler.now():
                job.on_end(0)
                continue
            self.running.append(job)
        self.generation += 1
        if self.running:
            soonest = max(0.0, min(job.remaining for job in self.running))
            self.scheduler.call_later(
                soonest * self.slowdown(), self._complete_jobs, self.generation
            )

    def _complete_jobs(self, generation: int) -> None:
        """Answer the jobs that are done or past their deadline."""
        if generation != self.generation:
            return
        self._advance()
        now = self.scheduler.now()
        finished = [
            job
            for job in self.running
            if job.remaining <= DONE_THRESHOLD_SECONDS or job.deadline <= now
        ]
        self.running = [job for job in self.running if job not in finished]
        if not self.unresponsive:
            for job in finished:
                job.on_end(200 if job.remaining <= DONE_THRESHOLD_SECONDS else 504)
        self._schedule()
