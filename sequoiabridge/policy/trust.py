"""How far an upstream's load reports are believed."""

from __future__ import annotations

from .upstream_state import UpstreamState

TRUST_LOSS_FACTOR = 0.8
"""Factor on trust for each answer that contradicts the upstream's reports."""

TRUST_GAIN = 0.02
"""Trust that each answer in agreement with them gives back."""

DISTRUST_LATENCY_RATIO = 1.5
"""Latency, as a multiple of the pool's, with which a report under the average disagrees."""


def update_trust(upstream: UpstreamState, now: float) -> None:
    """Lower the trust in reports of little work from an upstream that answers slowly."""
    reports_low_load = upstream.other_calls / upstream.slots < upstream.averages.other_load
    if reports_low_load and upstream.latency_ratio(now) > DISTRUST_LATENCY_RATIO:
        upstream.trust *= TRUST_LOSS_FACTOR
    else:
        upstream.trust = min(1.0, upstream.trust + TRUST_GAIN)
