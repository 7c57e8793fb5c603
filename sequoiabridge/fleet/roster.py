"""Table of known VMs, and the addresses of VMs that are expected in the fleet.

A VM is expected until it leaves, or until it is dead and the platform's VM list omits it, so that
one side of a network partition does not count as the whole fleet.
"""

import math
from collections.abc import Iterable

from .base import MemberState, MemberView
from .members import LIVE_STATES, MembershipOptions
from .wire import Update


class Roster:
    """Members by name, with indexes by address and state."""

    def __init__(self, own_member: MemberView, seeds: Iterable[str], options: MembershipOptions):
        self.own_member = own_member
        self.options = options
        self.members: dict[str, MemberView] = {}
        self.by_address: dict[str, str] = {}
        self.live_names: dict[str, None] = {}
        self.suspects: set[str] = set()
        self.seeds = {seed for seed in seeds if seed != own_member.address}
        self.listed_addresses: set[str] = set()
        self.expected: set[str] = set(self.seeds)

    def get(self, name: str) -> MemberView | None:
        """Return the member with a name, in any state."""
        return self.members.get(name)

    def find_by_address(self, address: str) -> MemberView | None:
        """Return the member last known at an address."""
        return self.members.get(self.by_address.get(address, ""))

    def live(self) -> list[MemberView]:
        """Return the members that are alive or suspected."""
        return [self.members[name] for name in self.live_names]

    def suspicion_timeout(self) -> float:
        """Return the seconds in which a suspect can refute; grows with fleet size."""
        return self.options.suspicion_timeout * max(1.0, math.log10(len(self.live_names) + 2))

    def update(self, update: Update, state: MemberState, now: float) -> None:
        """Add or replace a member; its configuration version is kept."""
        known = self.members.get(update.name)
        if known is not None and known.address != update.address:
            self._remove_address(known)
        version = known.version if known is not None else 0
        member = MemberView(
            update.name,
            update.address,
            update.data_centre,
            update.incarnation,
            state,
            now,
            version,
        )
        self.members[update.name] = member
        self._index(member)

    def set_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the platform's VM list; this changes no member's state."""
        self.listed_addresses = {
            address for address in addresses if address != self.own_member.address
        }
        self.expected |= self.listed_addresses
        for address in list(self.expected - self.listed_addresses):
            member = self.find_by_address(address)
            if member is None or member.state not in LIVE_STATES:
                self.expected.discard(address)

    def unreachable_addresses(self) -> list[str]:
        """Return the known addresses without a live member, sorted."""
        dead = {m.address for m in self.members.values() if m.state is MemberState.DEAD}
        candidates = self.seeds | self.listed_addresses | dead | self.expected
        live = {self.members[name].address for name in self.live_names}
        return sorted(candidates - live - {self.own_member.address})

    def remove_expired(self, now: float) -> None:
        """Remove dead and left members whose tombstone has expired."""
        for name, member in list(self.members.items()):
            if member.state in LIVE_STATES or now - member.since < self.options.tombstone_lifetime:
                continue
            del self.members[name]
            self._remove_address(member)

    def _index(self, member: MemberView) -> None:
        name, address = member.name, member.address
        self.suspects.discard(name)
        if member.state is MemberState.SUSPECT:
            self.suspects.add(name)
        if member.state in LIVE_STATES:
            self.live_names[name] = None
            self.by_address[address] = name
            self.expected |= {address} - {self.own_member.address}
            return
        self.live_names.pop(name, None)
        holder = self.find_by_address(address)
        if holder is None or holder.state not in LIVE_STATES:
            self.by_address[address] = name
            if member.state is MemberState.LEFT:
                self.expected.discard(address)

    def _remove_address(self, member: MemberView) -> None:
        if self.by_address.get(member.address) == member.name:
            del self.by_address[member.address]
