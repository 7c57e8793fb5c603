"""The base class of filters; the pipeline itself is in `pipeline.pipeline`."""

from abc import ABC

from .exchange import Exchange

DEFAULT_RETRY_AFTER = 1.0
"""Seconds after which a caller may come back when nothing better is known."""


class Filter(ABC):  # noqa: B024
    """One step of the pipeline with one job.

    Hooks, all optional:
        enter: Called on the way in, in order. Raise `Refusal` to end the call with an answer of
            the daemon's own; set `exchange.answer` to end it with an answer at hand (a replay).
        leave: Called on the way out in reverse order, for each filter whose `enter` returned,
            always, after the answer has been sent or given up. Must not raise. `clean` says
            whether the caller got the whole answer.
    """

    __slots__ = ()

    name = "filter"

    async def enter(self, exchange: Exchange) -> None:  # noqa: B027
        """Do this filter's job on the way in."""

    async def leave(self, exchange: Exchange, clean: bool) -> None:  # noqa: B027
        """Clean up or record on the way out."""
