"""Leases by which the VMs make one of them the coordinator of the limits of upstreams.

A limit is one number for all VMs. Each VM leases its share of all limits to the coordinator of its
choice, for a short time, and to no other until that lease has ended. A coordinator spends what has
been leased to it, so the sum over all coordinators is bounded whatever messages are lost and
whichever VMs start, stop or cannot reach each other. No I/O; time is an argument.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

LEASE_SECONDS = 2.0
"""Duration of a lease in seconds."""

RENEWAL_INTERVAL = 0.3
"""Seconds between two renewals of a lease, so that several may be lost."""

SILENCE_SECONDS = 1.2
"""Seconds without an answer after which a VM is passed over as the coordinator."""

PING_INTERVAL = 1.5
"""Seconds between two messages to a silent VM that would be preferred as the coordinator."""

MAX_TICK_GAP = 1.0
"""Seconds between two ticks above which this process was stalled and knows nothing of others."""

MINORITY_FACTOR = 0.5
"""Factor on the share of a coordinator to which no majority of the VMs leases theirs. A majority
may lease theirs to another one, which then spends whole limits."""


class LeaseRegister:
    """The leases that VMs have granted to this one.

    Attributes:
        ends: Time at which each lease ends, by VM.
    """

    __slots__ = ("ends",)

    def __init__(self) -> None:
        self.ends: dict[str, float] = {}

    def renew(self, vm: str, receipt_at: float, now: float) -> None:
        """Record a lease.

        It lasts from the time at which this VM sent the receipt that the lease answers, which was
        before the other VM granted it. A lease that was delayed on its way is thus not extended.

        Args:
            receipt_at: That time, on this VM's clock.
        """
        if receipt_at <= now < receipt_at + LEASE_SECONDS:
            self.ends[vm] = max(receipt_at + LEASE_SECONDS, self.ends.get(vm, 0.0))

    def count(self, now: float) -> int:
        """Return the number of VMs whose leases are in force."""
        self.ends = {vm: end for vm, end in self.ends.items() if end > now}
        return len(self.ends)

    def share(self, members: int, now: float) -> float:
        """Return the share of each limit that this VM may spend.

        Args:
            members: Number of VMs that this VM knows, whether they run or not.
        """
        count = self.count(now)
        if 2 * count > members:
            return 1.0
        return MINORITY_FACTOR * count / max(1, members)


class Contact:
    """What a VM knows of another as a coordinator.

    Attributes:
        receipt_at: Time on the other VM's clock at which it sent its latest receipt.
        received_at: Time on this VM's clock at which that receipt arrived.
        asked_at: Time of the latest message to it.
        unanswered_since: Time of the first message to it since its latest receipt, or None.
    """

    __slots__ = ("receipt_at", "received_at", "asked_at", "unanswered_since")

    def __init__(self) -> None:
        self.receipt_at = 0.0
        self.received_at = float("-inf")
        self.asked_at = float("-inf")
        self.unanswered_since: float | None = None

    def is_silent(self, now: float) -> bool:
        """Return whether it has not answered for too long."""
        return self.unanswered_since is not None and now - self.unanswered_since > SILENCE_SECONDS


class LeaseMessage:
    """A message that is due: a lease, or a ping that only asks for a receipt.

    Attributes:
        vm: The VM to send it to.
        receipt_at: Time in that VM's latest receipt; None for a ping.
    """

    __slots__ = ("vm", "receipt_at")

    def __init__(self, vm: str, receipt_at: float | None):
        self.vm = vm
        self.receipt_at = receipt_at


class CoordinatorChoice:
    """Chooses the coordinator to which this VM leases its share.

    All VMs prefer the same ones, so that nearly all choose the same.

    Args:
        own: Name of this VM.
        started_at: Time at which this process started. Leases of an earlier process may last for
            `LEASE_SECONDS` from then on.

    Attributes:
        holder: The VM that holds this VM's lease, or is going to, None at first.
        preferred: The first VM in the common order that answers; it becomes the holder.
        lease_end: Time until which this VM must grant no lease to another one.
    """

    def __init__(self, own: str, started_at: float):
        self.own = own
        self.started_at = started_at
        self.contacts: dict[str, Contact] = {}
        self.holder: str | None = None
        self.preferred: str | None = None
        self.lease_end = started_at + LEASE_SECONDS
        self.ticked_at = float("-inf")

    def tick(self, vms: Iterable[str], now: float) -> list[LeaseMessage]:
        """Return the messages that are due now; called each `RENEWAL_INTERVAL`.

        Args:
            vms: All known VMs, including this one.
        """
        if now - self.ticked_at > MAX_TICK_GAP:
            self._forget_silence()
        self.ticked_at = now
        ranked = sorted(vms, key=rank)
        preferred = self.preferred = self._first_answering(ranked, now)
        if preferred != self.holder and now >= self.lease_end:
            self.holder = preferred
        messages = [self._message(preferred, now)]
        for vm in ranked[: ranked.index(preferred)]:
            if now - self._contact(vm).asked_at >= PING_INTERVAL:
                messages.append(LeaseMessage(vm, None))
        for message in messages:
            self._record_message(message.vm, now)
        return messages

    def record_receipt(self, vm: str, receipt_at: float, now: float) -> None:
        """Record a receipt of another VM, or of this one."""
        contact = self._contact(vm)
        contact.receipt_at = receipt_at
        contact.received_at = now
        contact.unanswered_since = None

    def first_lease(self, vm: str, now: float) -> LeaseMessage | None:
        """Return the lease for the preferred VM if it has just answered and no lease is in force.

        The VMs thus agree within a few messages once there is a limit, without waiting for the next
        renewals.
        """
        if vm != self.preferred or now < self.lease_end:
            return None
        self.holder = vm
        message = self._message(vm, now)
        self._record_message(vm, now)
        return message if message.receipt_at is not None else None

    def coordinator(self, now: float) -> str | None:
        """Return the VM to ask for permits, None if none is known.

        A VM whose own share is not leased may ask as well: a coordinator spends only what it holds.
        """
        is_leased = self.started_at + LEASE_SECONDS <= now < self.lease_end
        if is_leased and self.holder is not None and not self._contact(self.holder).is_silent(now):
            return self.holder
        preferred = self.preferred
        if preferred is None or preferred == self.own:
            return None
        contact = self._contact(preferred)
        has_answered = now - contact.received_at < LEASE_SECONDS and not contact.is_silent(now)
        return preferred if has_answered else None

    def _message(self, preferred: str, now: float) -> LeaseMessage:
        """Return the lease for the preferred VM, or a ping if it cannot have the lease yet."""
        contact = self._contact(preferred)
        is_fresh = now - contact.received_at < LEASE_SECONDS - RENEWAL_INTERVAL
        if preferred != self.holder or not is_fresh or now < self.started_at + LEASE_SECONDS:
            return LeaseMessage(preferred, None)
        self.lease_end = now + LEASE_SECONDS
        return LeaseMessage(preferred, contact.receipt_at)

    def _first_answering(self, ranked: list[str], now: float) -> str:
        answering = (vm for vm in ranked if not self._contact(vm).is_silent(now))
        return next(answering, self.own)

    def _record_message(self, vm: str, now: float) -> None:
        contact = self._contact(vm)
        contact.asked_at = now
        if contact.unanswered_since is None and vm != self.own:
            contact.unanswered_since = now

    def _forget_silence(self) -> None:
        for contact in self.contacts.values():
            contact.unanswered_since = None

    def _contact(self, vm: str) -> Contact:
        return self.contacts.setdefault(vm, Contact())


@lru_cache(maxsize=1024)
def rank(vm: str) -> bytes:
    """Return a key that sorts VMs by their precedence as the coordinator, the same on all."""
    return blake2b(f"limits/{vm}".encode(), digest_size=8).digest()
