"""Filter that records each finished call in the metrics and in the journal of decisions."""

from __future__ import annotations

from ..metrics import Metrics
from ..operators.journal import Journal
from ..timers import Clock
from .base import Filter
from .exchange import Exchange

NO_VALUE = ""


class Record(Filter):
    """Records calls; the first filter, so that it also records those that others refuse."""

    __slots__ = ("metrics", "journal", "clock")

    name = "record"

    def __init__(self, metrics: Metrics, journal: Journal, clock: Clock):
        self.metrics = metrics
        self.journal = journal
        self.clock = clock

    async def enter(self, exchange: Exchange) -> None:
        if self.journal.should_sample():
            exchange.notes = []

    async def leave(self, exchange: Exchange, clean: bool) -> None:
        now = self.clock.now()
        service = exchange.service.name if exchange.service else NO_VALUE
        kind = exchange.rule.kind if exchange.rule else NO_VALUE
        status = exchange.answer.status if exchange.answer else 0
        seconds = now - exchange.arrived
        refusal = exchange.refusal
        good = clean and refusal is None and now <= exchange.deadline
        self.metrics.record_call(service, kind, status, seconds, good)
        if refusal is not None:
            self.metrics.record_refusal(service, refusal.reason, refusal.outcome)
        self.journal.record(
            exchange.id,
            service,
            kind,
            exchange.upstream,
            status,
            seconds,
            now,
            exchange.attempts,
            False,
            refusal,
            exchange.notes,
        )
