"""Refuses calls at once while no way leads to the upstreams of their service."""

from __future__ import annotations

from ...balancing.call import Call
from ...balancing.candidates import UpstreamSource
from ...balancing.paths import PathTable
from ...balancing.refusals import no_path
from ...balancing.send_policy import Reach
from ...exceptions import Refusal
from ...timers import Clock


class UpstreamReach(Reach):
    """Tells by the table of paths whether a call's upstreams can be reached.

    Attributes:
        refused: Number of refusals.
    """

    def __init__(self, table: PathTable, upstreams: UpstreamSource, clock: Clock):
        self.table = table
        self.upstreams = upstreams
        self.clock = clock
        self.refused = 0

    def refusal(self, call: Call) -> Refusal | None:
        """Return the refusal of a call whose upstreams cannot be reached, None if one can."""
        now = self.clock.now()
        if not self.table.has_unreachable:
            return None
        known = self.upstreams.for_service(call.service)
        if not self.table.is_isolated(now) and not self.table.are_out_of_reach(
            [upstream.address for upstream in known], now
        ):
            return None
        self.refused += 1
        return no_path(call)
