"""The pipeline: what happens to a call, from its head to its answer, read top to bottom."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import count

from ..callers.refusals import refusal_answer
from ..callers.server import Handler
from ..exceptions import CallerGone, Refusal
from ..logs import get_log
from ..outcome import Reason
from ..timers import Clock
from .base import DEFAULT_RETRY_AFTER, Filter
from .dispatch import Dispatch
from .exchange import Answer, Exchange, Request

log = get_log("pipeline")


class RequestIds:
    """Gives each call an id that no other call in the fleet has: VM, its start, a counter."""

    __slots__ = ("prefix", "counter")

    def __init__(self, vm: str, incarnation: int):
        self.prefix = f"{vm}-{incarnation:x}-"
        self.counter = count(1)

    def next(self) -> str:
        """Return a new id."""
        return self.prefix + format(next(self.counter), "x")


class Pipeline(Handler):
    """Takes calls from the HTTP server through the filters and to an upstream.

    Args:
        filters: In the order in which a call meets them.
        dispatch: The last step: sends the call to an upstream.
        ids: Source of request ids.
        clock: The daemon's clock.
    """

    __slots__ = ("steps", "first", "entering", "leaving", "dispatch", "ids", "clock", "open")

    def __init__(
        self, filters: Sequence[Filter], dispatch: Dispatch, ids: RequestIds, clock: Clock
    ):
        self.filters = filters
        self.dispatch = dispatch
        self.ids = ids
        self.clock = clock
        self.open: dict[str, Exchange] = {}

    @property
    def filters(self) -> Sequence[Filter]:
        """The filters, in the order in which a call meets them."""
        return self.steps

    @filters.setter
    def filters(self, filters: Sequence[Filter]) -> None:
        """Set the filters. Hooks that do nothing are not called; they count as entered."""
        self.steps = filters
        enters = [place for place, step in enumerate(filters) if overrides(step, "enter")]
        entered_count = [*enters, len(filters)]
        self.first = entered_count[0]
        self.entering = [
            (filters[place].enter, entered_count[n + 1]) for n, place in enumerate(enters)
        ]
        leaves = [place for place, step in enumerate(filters) if overrides(step, "leave")]
        self.leaving = [(place, filters[place].leave) for place in reversed(leaves)]

    async def answer(self, request: Request) -> Answer:
        """Return the answer for a call: an upstream's, or the daemon's own refusal.

        The server calls `finished` once the answer has been sent or given up. A cancellation
        (the caller has gone) leaves all filters at once.
        """
        exchange = Exchange(self.ids.next(), request, self.clock.now())
        request.exchange = exchange
        exchange.entered_count = self.first
        self.open[exchange.id] = exchange
        try:
            for enter, entered_count in self.entering:
                await enter(exchange)
                exchange.entered_count = entered_count
                if exchange.answer is not None:
                    return exchange.answer
            exchange.answer = await self.dispatch.run(exchange)
        except Refusal as refusal:
            exchange.refusal = refusal
            exchange.answer = refusal_answer(refusal, exchange.id)
        except CallerGone:
            await self._leave(exchange, False)
            raise
        except Exception:
            log.exception("Call %s hit an error of the daemon's own.", exchange.id)
            exchange.refusal = _internal(exchange)
            exchange.answer = refusal_answer(exchange.refusal, exchange.id)
        except BaseException:
            await self._leave(exchange, False)
            raise
        return exchange.answer

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        """Leave the filters; `clean` is false if the caller did not get the whole answer."""
        if request.exchange is not None:
            await self._leave(request.exchange, clean)

    async def _leave(self, exchange: Exchange, clean: bool) -> None:
        if self.open.pop(exchange.id, None) is None:
            return
        for place, leave in self.leaving:
            if place < exchange.entered_count:
                await leave(exchange, clean)
        # A call must not end as a cycle, which only the garbage collector would take apart.
        exchange.request.exchange = None


def overrides(step: Filter, hook: str) -> bool:
    """Return whether a filter has a hook of its own."""
    return getattr(type(step), hook) is not getattr(Filter, hook)


def _internal(exchange: Exchange) -> Refusal:
    message = "The daemon failed on this call; its log has the cause. Try again later."
    return Refusal(500, exchange.outcome, Reason.INTERNAL, message, DEFAULT_RETRY_AFTER)
