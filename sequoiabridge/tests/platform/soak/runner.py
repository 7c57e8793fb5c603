"""Runs a soak from a test."""

import curio

from ....selector import LazySelector
from .soak import Soak

MIN_CALLS = 300
"""Number of calls below which a run shows nothing."""


def run_soak(soak: Soak) -> list[str]:
    """Run a soak to its end and stop its processes; return the violations."""
    try:
        violations = curio.run(soak.run, selector=LazySelector())
        assert len(soak.deployment.record.calls) > MIN_CALLS
        return violations
    finally:
        soak.close()
