"""Releases blocked requests, open claims and held uploads at the command of an operator."""

from __future__ import annotations

from expression import Error, Ok, Result

from ..exceptions import ConflictError, SequoiaError, StoreUnavailable
from ..fleet.base import CrashItem, Fleet, Urgency
from ..logs import get_log
from ..pipeline.services import Services
from ..store.claim_admin import ClaimAdmin
from ..store.upload_manifest import UploadConflict, UploadState, UploadUnknown
from ..store.uploads import Uploads
from ..timers import Clock
from .bases import Releaser
from .commands import HeldKind
from .errors import NotFound

log = get_log("releases")

RELEASE_TIMEOUT = 5.0
"""Maximum time for the store to confirm the release of a claim, in seconds."""

MAX_LISTED_CLAIMS = 1000
"""Maximum number of open claims that are searched for a name."""

RELEASE_REASON = "released by the operator"
"""Reason that is stored with a released claim."""


class DaemonReleaser(Releaser):
    """Releases blocked requests on all VMs, and claims and uploads in the store."""

    def __init__(
        self,
        services: Services,
        claims: ClaimAdmin,
        fleet: Fleet,
        clock: Clock,
        uploads: Uploads,
    ):
        self.services = services
        self.claims = claims
        self.fleet = fleet
        self.clock = clock
        self.uploads = uploads

    async def describe(self, kind: HeldKind, name: str) -> Result[str, SequoiaError]:
        if kind is HeldKind.CRASH:
            return self._describe_crash(name)
        if kind is HeldKind.UPLOAD:
            return await self._describe_upload(name)
        return await self._describe_claim(name)

    async def release(self, kind: HeldKind, name: str, author: str) -> Result[str, SequoiaError]:
        if kind is HeldKind.CRASH:
            return self._release_crash(name)
        if kind is HeldKind.UPLOAD:
            return await self._release_upload(name, author)
        released = await self.claims.release_by_operator(
            name, author, RELEASE_REASON, RELEASE_TIMEOUT
        )
        if released.is_error():
            return released
        return Ok(f"Claim {name} is released; its key may be used again.")

    def _describe_crash(self, name: str) -> Result[str, SequoiaError]:
        now = self.clock.now()
        for state in self.services.states():
            for entry in state.ledger.list_suspects(now):
                if entry.fingerprint == name:
                    upstreams = ", ".join(entry.upstreams)
                    return Ok(f"Request {name} was running on {upstreams} when they crashed.")
        return Error(NotFound(f"No crash suspect {name} exists; see show crashes."))

    def _release_crash(self, name: str) -> Result[str, SequoiaError]:
        found = self._describe_crash(name)
        if found.is_error():
            return found
        wall = self.clock.wall()
        for state in self.services.states():
            state.ledger.release(name, wall)
        self.fleet.publish(CrashItem(name, "", wall, released=True), Urgency.CRASH)
        return Ok(f"Request {name} may run again, on all VMs within seconds.")

    async def _describe_claim(self, name: str) -> Result[str, SequoiaError]:
        found = await self.claims.list_open(MAX_LISTED_CLAIMS)
        if found.is_error():
            return Error(NotFound(found.error.message))
        for claim in found.ok.claims:
            if claim.row_key == name:
                row = claim.row
                return Ok(f"Claim {name} of {row.caller} for {row.service} is {row.state.value}.")
        return Error(NotFound(f"No claim {name} is open past its deadline; see show claims."))

    async def _describe_upload(self, name: str) -> Result[str, SequoiaError]:
        try:
            manifest = await self.uploads.get_manifest(name)
        except StoreUnavailable as error:
            return Error(error)
        if manifest is None:
            return Error(NotFound(f"No upload {name} exists; see show uploads."))
        state = manifest.state
        if state is not UploadState.FAILED:
            return Error(
                NotFound(f"Upload {name} is {state.value}, not held; it needs no release.")
            )
        description = f"Upload {name} of {manifest.caller} for {manifest.service}"
        return Ok(f"{description} is held: {manifest.error}.")

    async def _release_upload(self, name: str, author: str) -> Result[str, SequoiaError]:
        found = await self._describe_upload(name)
        if found.is_error():
            return found
        try:
            await self.uploads.release(name)
        except UploadConflict as error:
            return Error(ConflictError(f"{error}. Check it with show uploads."))
        except UploadUnknown as error:
            return Error(NotFound(str(error)))
        except StoreUnavailable as error:
            return Error(error)
        log.info("upload %s released by operator %s", name, author)
        return Ok(f"Upload {name} is released; its delivery is retried within seconds.")
