"""A rule: what may be done with the requests that match it."""

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
"""Order of that rule."""


class Rule(Section):
    """`[rule NAME]`: requests of a service by method and path.

    The defaults are the careful choice: nothing is repeated unless a rule says that it may be.
    """

    heading = "rule"

    service = Name("Service whose requests it is about.")
    order = Integer("Rules are tried from the lowest order up.", 100, maximum=LAST_ORDER)
    methods = ListOf("HTTP methods that it matches; empty for any.", Choice("", METHODS), ())
    path = PathGlob("Path that it matches: `*` inside a segment, `**` for whole segments.", "/**")
    kind = Name("Kind of work, as metrics name it.", "other")
    idempotent = Boolean("Whether a request may be sent to an upstream more than once.", False)
    key = Choice(
        "Whether an idempotency key is needed, used if it is there, or not looked at.",
        ("required", "optional", "ignored"),
        "optional",
    )
    upload = Choice(
        "How a body is passed on: with the request, streamed as an upload, or by the object store.",
        ("no", "stream", "spool"),
        "no",
    )
    hedge = Boolean("Whether a second upstream is asked when the first is late.", False)
    weight = Number("Worth of one answer inside its window.", 1.0, maximum=1000.0)
    window = Duration("Time in which an answer is of use.", 30.0, minimum=0.001, maximum=86400.0)
    max_body = Size("Largest body.", 1_000_000)

    def check(self) -> Iterator[tuple[str, str, str]]:
        if self.hedge and not self.idempotent:
            wrong = "a hedge runs a request twice, and this rule's are not idempotent"
            yield "hedge", wrong, "write no, or idempotent = yes if that is true"
        if self.hedge and self.upload != "no":
            yield "hedge", "the body of an upload cannot be sent twice", "write no"

    @classmethod
    def unmatched(cls, service: str) -> Self:
        """Return the rule for requests of `service` that match none: nothing is repeated."""
        options = {"service": service, "order": str(LAST_ORDER)}
        return cls.read(UNMATCHED, options, "unmatched").ok
