"""A service: what callers ask for, and how its calls are weighed."""

from .fields import Choice, Integer, ListOf, Number
from .section import Section
from .units import HostPattern, PathPrefix

CHOOSERS = ("evidence", "random", "round-robin", "least-own", "two-choices")
"""Names of the ways to choose an upstream; the policy part knows the classes."""


class Service(Section):
    """`[service NAME]`: found by host and path; its pools have the upstreams."""

    heading = "service"

    hosts = ListOf(
        "Host names of its requests, `*.` for all below a name; empty for any.", HostPattern(""), ()
    )
    path_prefix = PathPrefix("Start of the path of its requests.", "/")
    tail_weight = Number(
        "0: the cost of measuring counts most; 1: tail latency counts most.", 0.5, maximum=1.0
    )
    probes_per_1000 = Number(
        "Probes that may be sent for 1,000 calls, as the budget of measuring.",
        20.0,
        maximum=10_000.0,
    )
    queue_limit = Integer("Requests that may wait at one VM.", 100, maximum=100_000)
    caller_share = Number("Share of that queue which one caller may take.", 0.25, maximum=1.0)
    retry_ratio = Number("Retries and hedges allowed, as a share of successes.", 0.1, maximum=1.0)
    eject_cap = Number("Largest share of its upstreams that is set aside.", 0.34, maximum=1.0)
    chooser = Choice("How an upstream is chosen.", CHOOSERS, "evidence")
