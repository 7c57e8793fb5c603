"""A service: its hosts, path, limits and the choice of upstreams."""

from .fields import Choice, Integer, ListOf, Number
from .section import Section
from .units import HostPattern, PathPrefix

CHOOSERS = ("evidence", "random", "round-robin", "least-own", "two-choices")
"""Names of the strategies that choose an upstream; the classes are in `policy`."""


class Service(Section):
    """`[service NAME]`: matched by host and path; its upstreams are in pools."""

    heading = "service"

    hosts = ListOf(
        "Host names of its requests, `*.` for all subdomains; empty for any host.",
        HostPattern(""),
        (),
    )
    path_prefix = PathPrefix("Path prefix of its requests.", "/")
    tail_weight = Number(
        "Weight of tail latency against the cost of probes, from 0 (fewer probes) to 1.",
        0.5,
        maximum=1.0,
    )
    probes_per_1000 = Number(
        "Number of probes that may be sent per 1,000 calls.",
        20.0,
        maximum=10_000.0,
    )
    queue_limit = Integer("Maximum number of queued requests per VM.", 100, maximum=100_000)
    caller_share = Number(
        "Largest share of `queue_limit` that one caller may use.", 0.25, maximum=1.0
    )
    retry_ratio = Number(
        "Maximum number of retries and hedges, as a share of successful calls.", 0.1, maximum=1.0
    )
    eject_cap = Number(
        "Largest share of its upstreams that may be ejected at the same time.", 0.34, maximum=1.0
    )
    chooser = Choice("Strategy that chooses an upstream.", CHOOSERS, "evidence")
