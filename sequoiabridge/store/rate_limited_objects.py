"""Object store that keeps to this daemon's share of the fleet's rates."""

from expression import Result

from .admission import AdmissionControl
from .base import ObjectStore, StoreError
from .rates import Priority


class RateLimitedObjects(ObjectStore):
    """Passes calls on to `objects` once the breaker and the rates allow it.

    Puts and deletes count as writes, gets and lists of names as reads.
    """

    def __init__(self, admission: AdmissionControl, objects: ObjectStore):
        self.admission = admission
        self.objects = objects

    async def put(
        self, name: str, data: bytes, timeout: float, priority: Priority = Priority.NORMAL
    ) -> Result[None, StoreError]:
        """Store an object. The error is `CONDITION_FAILED` if the name exists."""
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
        """Delete the object, by default at low priority. It is not an error if there is none."""
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
        """Return up to `limit` names that start with `prefix` and sort after `after`, in order."""
        return await self.admission.run_call(
            self.admission.reads,
            priority,
            timeout,
            lambda remaining: self.objects.names(prefix, after, limit, remaining),
        )
