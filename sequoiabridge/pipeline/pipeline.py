"""Runs calls through the filters and dispatches them to upstreams."""

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
    """Generates fleet-wide unique request ids from VM name, incarnation and a counter."""

    __slots__ = ("prefix", "counter")

    def __init__(self, vm: str, incarnation: int):
        self.prefix = f"{vm}-{incarnation:x}-"
        self.counter = count(1)

    def next(self) -> str:
        """Return a new id."""
        return self.prefix + format(next(self.counter), "x")


class Pipeline(Handler):
    """Passes calls of the HTTP server through the filters and to an upstream.

    Args:
        filters: The filters, in the order in which they are entered.
        dispatch: Sends a call to an upstream after all filters were entered.
        ids: Source of request ids.
        clock: The daemon's clock.
    """

    __slots__ = (
        "all_filters",
        "initial_entered_count",
        "enter_hooks",
        "leave_hooks",
        "dispatch",
        "ids",
        "clock",
        "open_exchanges",
    )

    def __init__(
        self, filters: Sequence[Filter], dispatch: Dispatch, ids: RequestIds, clock: Clock
    ):
        self.filters = filters
        self.dispatch = dispatch
        self.ids = ids
        self.clock = clock
        self.open_exchanges: dict[str, Exchange] = {}

    @property
    def filters(self) -> Sequence[Filter]:
        """The filters, in the order in which they are entered."""
        return self.all_filters

    @filters.setter
    def filters(self, filters: Sequence[Filter]) -> None:
        """Set the filters. Those without an `enter` hook are skipped and count as entered."""
        self.all_filters = filters
        enter_indexes = [
            index for index, filter_ in enumerate(filters) if overrides_hook(filter_, "enter")
        ]
        entered_counts = [*enter_indexes, len(filters)]
        self.initial_entered_count = entered_counts[0]
        self.enter_hooks = [
            (filters[index].enter, entered_counts[n + 1]) for n, index in enumerate(enter_indexes)
        ]
        leave_indexes = [
            index for index, filter_ in enumerate(filters) if overrides_hook(filter_, "leave")
        ]
        self.leave_hooks = [(index, filters[index].leave) for index in reversed(leave_indexes)]

    async def answer(self, request: Request) -> Answer:
        """Return an upstream's answer to a call, or the answer that reports a refusal.

        The server calls `finished` once the answer has been sent or abandoned. If the call is
        cancelled because the caller disconnected, the filters are left immediately.
        """
        exchange = Exchange(self.ids.next(), request, self.clock.now())
        request.exchange = exchange
        exchange.entered_count = self.initial_entered_count
        self.open_exchanges[exchange.id] = exchange
        try:
            for enter, entered_count in self.enter_hooks:
                await enter(exchange)
                exchange.entered_count = entered_count
                if exchange.answer is not None:
                    return exchange.answer
            exchange.answer = await self.dispatch.run(exchange)
            exchange.answer.deadline = exchange.deadline
        except Refusal as refusal:
            exchange.refusal = refusal
            exchange.answer = refusal_answer(refusal, exchange.id)
        except CallerGone:
            await self._leave(exchange, False)
            raise
        except Exception:
            log.exception("Internal error while processing call %s.", exchange.id)
            exchange.refusal = _internal_error(exchange)
            exchange.answer = refusal_answer(exchange.refusal, exchange.id)
        except BaseException:
            await self._leave(exchange, False)
            raise
        return exchange.answer

    async def finished(self, request: Request, answer: Answer, clean: bool) -> None:
        """Leave the filters; `clean` is true if the caller received the whole answer."""
        if request.exchange is not None:
            await self._leave(request.exchange, clean)

    async def _leave(self, exchange: Exchange, clean: bool) -> None:
        if self.open_exchanges.pop(exchange.id, None) is None:
            return
        for index, leave in self.leave_hooks:
            if index < exchange.entered_count:
                await leave(exchange, clean)
        # Break the reference cycle, so that the call is freed without the garbage collector.
        exchange.request.exchange = None


def overrides_hook(filter_: Filter, hook: str) -> bool:
    """Return whether a filter overrides a hook of `Filter`."""
    return getattr(type(filter_), hook) is not getattr(Filter, hook)


def _internal_error(exchange: Exchange) -> Refusal:
    message = "The daemon failed on this call; its log has the cause. Try again later."
    return Refusal(500, exchange.outcome, Reason.INTERNAL, message, DEFAULT_RETRY_AFTER)
