"""Trust in an upstream's load reports."""

from __future__ import annotations

from .upstream_state import UpstreamState

TRUST_LOSS_FACTOR = 0.8
"""Factor on the trust for each answer whose latency contradicts the load reports."""

TRUST_GAIN = 0.02
"""Increase of the trust for each answer whose latency agrees with the load reports."""

DISTRUST_LATENCY_RATIO = 1.5
"""Latency, as a multiple of the pool's, above which it contradicts a report of low load."""


def update_trust(upstream: UpstreamState, now: float) -> None:
    """Lower the trust if the upstream reports low load but answers slowly; else raise it."""
    reports_low_load = upstream.other_calls / upstream.slots < upstream.averages.other_load
    if reports_low_load and upstream.latency_ratio(now) > DISTRUST_LATENCY_RATIO:
        upstream.trust *= TRUST_LOSS_FACTOR
    else:
        upstream.trust = min(1.0, upstream.trust + TRUST_GAIN)
