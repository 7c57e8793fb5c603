"""A rule: how requests that match it are handled."""

from collections.abc import Iterator
from typing import Self

from .fields import Boolean, Choice, Integer, ListOf, Name, Number
from .section import Section
from .units import Duration, PathGlob, Size

METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS")
"""HTTP methods that a rule may name."""

UNMATCHED = "unmatched"
"""Name of the rule for requests that no rule matches."""

LAST_ORDER = 10**6
"""Highest `order` of a rule; the order of the rule for unmatched requests."""


class Rule(Section):
    """`[rule NAME]`: handling of the requests of a service with certain methods and paths.

    With the defaults no request is sent more than once.
    """

    heading = "rule"

    service = Name("Service to whose requests the rule applies.")
    order = Integer(
        "Position of the rule; rules are tried from the lowest order up.", 100, maximum=LAST_ORDER
    )
    methods = ListOf("HTTP methods that the rule matches; empty for any.", Choice("", METHODS), ())
    path = PathGlob(
        "Path pattern: `*` matches text inside a segment, `**` matches whole segments.", "/**"
    )
    kind = Name("Kind of work, used as a label in metrics.", "other")
    idempotent = Boolean("Whether a request may be sent to an upstream more than once.", False)
    key = Choice(
        "Whether an idempotency key is required, used if the caller sends one, or ignored.",
        ("required", "optional", "ignored"),
        "optional",
    )
    upload = Choice(
        "How a body is sent on: with the request, streamed as an upload, or via the object store.",
        ("no", "stream", "spool"),
        "no",
    )
    hedge = Boolean("Whether a slow request is also sent to a second upstream.", False)
    weight = Number("Value of an answer that arrives within the window.", 1.0, maximum=1000.0)
    window = Duration(
        "Time after which the caller has no use for an answer.",
        30.0,
        minimum=0.001,
        maximum=86400.0,
    )
    max_body = Size("Maximum size of the request body.", 1_000_000)

    def check(self) -> Iterator[tuple[str, str, str]]:
        if self.hedge and not self.idempotent:
            wrong = "a hedge may run a request twice, but requests of this rule are not idempotent"
            yield "hedge", wrong, "write hedge = no, or idempotent = yes if requests may run twice"
        if self.hedge and self.upload != "no":
            yield "hedge", "the body of an upload cannot be sent twice", "write hedge = no"

    @classmethod
    def unmatched(cls, service: str) -> Self:
        """Return the rule for requests of `service` that match no other rule."""
        options = {"service": service, "order": str(LAST_ORDER)}
        return cls.read(UNMATCHED, options, "unmatched").ok
