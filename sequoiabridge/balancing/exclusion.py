"""The reasons for which an upstream gets no call."""

from __future__ import annotations

from enum import Enum


class Exclusion(Enum):
    """Why an upstream gets no call; the values appear in the log and in metrics."""

    LAPSED = "lapsed"
    """Its entry has lapsed and did not come back."""
    DRAINING = "draining"
    """The platform lists it as draining."""
    LEAVING = "leaving"
    """It says in its answers that it leaves."""
    REPLACED = "replaced"
    """Another upstream has its address."""
    RESTARTED = "restarted"
    """It has started again; this lifetime has ended."""
    RESTING = "resting"
    """It has asked this VM for rest."""
    LIMIT = "limit"
    """It has a limit, and no permit can be expected now."""
    PERMIT_REFUSED = "permit-refused"
    """It has a limit, and the coordinator refused a permit."""
    PERMIT_MISSING = "permit-missing"
    """It named a limit after it had been chosen, or the permit is too old."""
    NO_CONNECTION = "no-connection"
    """All connections that this VM may open to it are in use."""
