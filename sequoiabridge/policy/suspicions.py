"""Suspicions of upstreams that peers report.

A suspicion raises the score of an upstream but never ejects it. It counts only if several VMs share
it, and not if too many upstreams are suspected.
"""

from __future__ import annotations

from collections.abc import Sequence

from .upstream_state import UpstreamState

SUSPICION_SECONDS = 2.0
"""Seconds after which a reported suspicion expires."""

MIN_SUSPECTING_VMS = 2
"""Minimum number of other VMs that must suspect an upstream."""

SUSPECT_OVERDUE_RATIO = 4.0
"""Age of the oldest call in flight, as a multiple of the pool's latency, above which an upstream is
suspected."""

SUSPECT_LATENCY_RATIO = 2.0
"""Latency, as a multiple of the pool's, above which an upstream is suspected."""


def is_local_suspect(upstream: UpstreamState, now: float) -> bool:
    """Return whether this VM's own calls make the upstream a suspect; only this goes to peers."""
    return (
        upstream.on_trial
        or upstream.overdue_ratio(now) > SUSPECT_OVERDUE_RATIO
        or (upstream.samples > 0 and upstream.latency_ratio(now) > SUSPECT_LATENCY_RATIO)
    )


def record_suspicion(upstream: UpstreamState, sender: str, age: float, now: float) -> None:
    """Record that a peer suspected the upstream `age` seconds ago."""
    if age < SUSPICION_SECONDS:
        upstream.suspected_by[sender] = now + SUSPICION_SECONDS - age


def apply_suspicions(upstreams: Sequence[UpstreamState], max_suspected: int, now: float) -> float:
    """Set `suspected` on each upstream; on none if more than `max_suspected` would be.

    Returns:
        The time at which the first suspicion expires.
    """
    next_end = float("inf")
    suspected = []
    for upstream in upstreams:
        upstream.suspected = False
        if not upstream.suspected_by:
            continue
        live = {vm: end for vm, end in upstream.suspected_by.items() if end > now}
        upstream.suspected_by = live
        next_end = min(next_end, *live.values()) if live else next_end
        if len(live) >= MIN_SUSPECTING_VMS:
            suspected.append(upstream)
    if len(suspected) <= max_suspected:
        for upstream in suspected:
            upstream.suspected = True
    return next_end
