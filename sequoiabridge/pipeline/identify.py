"""Filter: who calls, under which key, and until when the answer is of use."""

from .. import headers
from ..exceptions import Refusal
from ..outcome import Outcome, Reason
from .base import Filter
from .exchange import Exchange

MAX_KEY_LENGTH = 200
"""Longest idempotency key, in characters."""

MAX_DEADLINE_MS = 24 * 3600 * 1000
"""Longest time that a caller may ask for, in milliseconds."""


class Identify(Filter):
    """Reads the caller's identity, idempotency key and deadline from the documented headers.

    Without `Sequoia-Caller` the caller is its IP number, whatever its port: a caller that
    connects anew keeps its keys. The deadline is kept as an offset to the
    arrival; `match.Match` bounds it by the rule's window.
    """

    __slots__ = ()

    name = "identify"

    async def enter(self, exchange: Exchange) -> None:
        exchange.caller = exchange.request.peer.rpartition(":")[0]
        for name, value in exchange.request.headers:
            if name == headers.CALLER:
                exchange.caller = value.decode("latin-1")
            elif name == headers.IDEMPOTENCY_KEY:
                exchange.key = self._parse_key(value)
            elif name == headers.DEADLINE:
                exchange.deadline = exchange.arrived + self._parse_deadline(value)

    def _parse_key(self, value: bytes) -> str:
        if not value or len(value) > MAX_KEY_LENGTH:
            raise _bad_request(
                f"Idempotency-Key must have 1 to {MAX_KEY_LENGTH} characters; shorten it."
            )
        return value.decode("latin-1")

    def _parse_deadline(self, value: bytes) -> float:
        if not value.isdigit() or not 0 < int(value) <= MAX_DEADLINE_MS:
            raise _bad_request(
                f"Sequoia-Deadline-Ms must be 1 to {MAX_DEADLINE_MS}; send milliseconds."
            )
        return int(value) / 1000


def _bad_request(message: str) -> Refusal:
    return Refusal(400, Outcome.NOT_RUN, Reason.BAD_REQUEST, message)
