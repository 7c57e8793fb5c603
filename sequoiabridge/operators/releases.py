"""What an operator's word frees on this VM: stopped requests and open claims."""

from __future__ import annotations

from expression import Error, Ok, Result

from ..exceptions import SequoiaError
from ..fleet.base import CrashItem, Fleet, Urgency
from ..pipeline.services import Services
from ..store.claim_admin import ClaimAdmin
from ..timers import Clock
from .bases import Releases
from .commands import Held
from .errors import NotFound

RELEASE_TIMEOUT = 5.0
"""Seconds in which the release of a claim is proven in the table."""

LISTED = 1000

BY_OPERATOR = "released by the operator"


class DaemonReleases(Releases):
    """Releases crash stops in the whole fleet, and claims in the table."""

    def __init__(self, services: Services, claims: ClaimAdmin, fleet: Fleet, clock: Clock):
        self.services = services
        self.claims = claims
        self.fleet = fleet
        self.clock = clock

    async def held(self, held: Held, name: str) -> Result[str, SequoiaError]:
        if held is Held.CRASH:
            return self._held_crash(name)
        return await self._held_claim(name)

    async def release(self, held: Held, name: str, author: str) -> Result[str, SequoiaError]:
        if held is Held.CRASH:
            return self._release_crash(name)
        released = await self.claims.release_by_operator(name, author, BY_OPERATOR, RELEASE_TIMEOUT)
        if released.is_error():
            return released
        return Ok(f"Claim {name} is released; its key may be used again.")

    def _held_crash(self, name: str) -> Result[str, SequoiaError]:
        now = self.clock.now()
        for state in self.services.states():
            for entry in state.ledger.listed(now):
                if entry.fingerprint == name:
                    upstreams = ", ".join(entry.upstreams)
                    return Ok(f"Request {name} was with {upstreams} when they crashed.")
        return Error(NotFound(f"No request {name} is listed; see show crashes."))

    def _release_crash(self, name: str) -> Result[str, SequoiaError]:
        found = self._held_crash(name)
        if found.is_error():
            return found
        wall = self.clock.wall()
        for state in self.services.states():
            state.ledger.release(name, wall)
        self.fleet.publish(CrashItem(name, "", wall, released=True), Urgency.CRASH)
        return Ok(f"Request {name} may run again, on all VMs within seconds.")

    async def _held_claim(self, name: str) -> Result[str, SequoiaError]:
        found = await self.claims.listed(LISTED)
        if found.is_error():
            return Error(NotFound(found.error.message))
        for claim in found.ok.claims:
            if claim.row_key == name:
                row = claim.row
                return Ok(f"Claim {name} of {row.caller} for {row.service} is {row.state.value}.")
        return Error(NotFound(f"No claim {name} is open past its deadline; see show claims."))
