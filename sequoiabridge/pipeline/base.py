"""Base class of the filters that `pipeline.pipeline` runs."""

from abc import ABC

from .exchange import Exchange

DEFAULT_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry, if there is no better estimate."""


class Filter(ABC):  # noqa: B024
    """One step of the pipeline.

    Hooks, all optional:
        enter: Called for each call, in the order of the filters. Raise `Refusal` to reject the
            call; set `exchange.answer` to answer it without an upstream.
        leave: Called in reverse order for each filter whose `enter` returned, once the answer has
            been sent or abandoned. Must not raise. `clean` is true if the caller received the
            whole answer.
    """

    __slots__ = ()

    name = "filter"

    async def enter(self, exchange: Exchange) -> None:  # noqa: B027
        """Process a call before it is dispatched."""

    async def leave(self, exchange: Exchange, clean: bool) -> None:  # noqa: B027
        """Release resources or record the result after the call."""
