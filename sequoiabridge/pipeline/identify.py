"""Filter that reads the caller, the idempotency key and the deadline of a call."""

from .. import headers
from ..exceptions import Refusal
from ..outcome import Outcome, Reason
from .base import Filter
from .exchange import Exchange

MAX_KEY_LENGTH = 200
"""Maximum length of an idempotency key, in characters."""

MAX_DEADLINE_MS = 24 * 3600 * 1000
"""Maximum deadline that a caller may request, in milliseconds."""


class Identify(Filter):
    """Reads the caller's identity, idempotency key and deadline from the request headers.

    Without `Sequoia-Caller` the caller is identified by its IP address without the port, so that
    its keys stay valid on a new connection. `match.Match` limits the deadline to the rule's
    window.
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
