"""The object store at this daemon's share of the fleet's rates."""

from expression import Result

from .admission import AdmissionControl
from .base import ObjectStore, StoreError
from .rates import Priority


class RateLimitedObjects(ObjectStore):
    """Passes calls on when the breaker and the share of the rates allow.

    Puts and deletes count as writes, gets and lists as reads.
    """

    def __init__(self, admission: AdmissionControl, objects: ObjectStore):
        self.admission = admission
        self.objects = objects

    async def put(
        self, name: str, data: bytes, timeout: float, priority: Priority = Priority.NORMAL
    ) -> Result[None, StoreError]:
        """Store an object; `CONDITION_FAILED` if the name is taken."""
        return await self.admission.run_call(
            self.admission.writes,
            priority,
            timeout,
            lambda remaining: self.objects.put(name, data, remaining),
        )

    async def get(
        self, name: str, timeout: float, priority: Priority = Priority.NORMAL
    ) -> Result[bytes | None, StoreError]:
        """Return the object, or None if there is none of that name."""
        return await self.admission.run_call(
            self.admission.reads,
            priority,
            timeout,
            lambda remaining: self.objects.get(name, remaining),
        )

    async def delete(
        self, name: str, timeout: float, priority: Priority = Priority.BACKGROUND
    ) -> Result[None, StoreError]:
        """Remove the object; fine if there is none. Nobody waits for it, so it goes last."""
        return await self.admission.run_call(
            self.admission.writes,
            priority,
            timeout,
            lambda remaining: self.objects.delete(name, remaining),
        )

    async def names(
        self,
        prefix: str,
        after: str,
        limit: int,
        timeout: float,
        priority: Priority = Priority.NORMAL,
    ) -> Result[list[str], StoreError]:
        """Return up to `limit` names in order."""
        return await self.admission.run_call(
            self.admission.reads,
            priority,
            timeout,
            lambda remaining: self.objects.names(prefix, after, limit, remaining),
        )
