"""Merges membership updates by precedence.

A higher incarnation wins; within one incarnation, left wins over dead, dead over suspect, and
suspect over alive. Only the VM itself increments its incarnation, so only it can refute its death.
"""

from .base import MemberState, MemberView
from .members import LIVE_STATES, STATE_RANK, Event, EventKind, state_of, update_of
from .replay import next_session, session_of
from .roster import Roster
from .wire import Update


class UpdateMerger:
    """Applies updates to the roster and collects the resulting updates and events.

    Attributes:
        initial_incarnation: First incarnation of the current session of this process.
        pending_updates: Updates to be disseminated; the owner takes and clears them.
        events: Membership events; the owner takes and clears them.
    """

    def __init__(self, own_member: MemberView, roster: Roster):
        self.own_member = own_member
        self.initial_incarnation = own_member.incarnation
        self.roster = roster
        self.leaving = False
        self.last_dead_incarnation = 0
        self.pending_updates: list[Update] = [update_of(own_member)]
        self.events: list[Event] = []

    def merge(self, update: Update, now: float) -> None:
        """Apply an update about any VM."""
        state = state_of(update)
        if state is None:
            return
        if update.name == self.own_member.name:
            self._merge_own(update, state, now)
            return
        if state in LIVE_STATES and self._is_from_predecessor(update):
            state = MemberState.DEAD
        known = self.roster.get(update.name)
        if known is None or supersedes(update, state, known):
            self._set(update, state, now)
        elif known.state not in LIVE_STATES and state in LIVE_STATES:
            self.pending_updates.append(update_of(known))  # Corrects the sender.

    def set_state(
        self, member: MemberView, state: MemberState, now: float, local_only: bool
    ) -> None:
        """Set the state that this VM detected; with `local_only`, do not disseminate it."""
        before = list(self.pending_updates)
        self._set(update_of(member), state, now)
        if local_only:
            self.pending_updates = before

    def find_outdated(self, name: str, incarnation: int) -> MemberView | None:
        """Return the member if a sender with this incarnation must be sent its known state."""
        known = self.roster.get(name)
        if known is None or incarnation > known.incarnation:
            return None
        if incarnation == known.incarnation and known.state is MemberState.ALIVE:
            return None
        return known

    def find_restored(self, name: str, incarnation: int) -> MemberView | None:
        """Return the known entry of a process that was declared dead and refuted it, or None."""
        known = self.roster.get(name)
        if known is None or known.state is not MemberState.DEAD:
            return None
        if incarnation <= known.incarnation:
            return None
        return known if session_of(incarnation) == session_of(known.incarnation) else None

    def replace_predecessor(self, address: str, name: str, incarnation: int, now: float) -> None:
        """Declare the previous VM at this address dead if its session is older."""
        old = self.roster.find_by_address(address)
        if old is None or old.name == name or old.state not in LIVE_STATES:
            return
        if session_of(old.incarnation) >= session_of(incarnation):
            return
        self._set(update_of(old), MemberState.DEAD, now)
        self.record_event(EventKind.REPLACED, old.name, now, f"by {name}")

    def record_event(self, kind: EventKind, name: str, now: float, detail: str = "") -> None:
        """Record a membership event."""
        self.events.append(Event(kind, name, now, detail))

    def _is_from_predecessor(self, update: Update) -> bool:
        """Return True if an update is about an earlier VM at this VM's address."""
        if update.address != self.own_member.address:
            return False
        return session_of(update.incarnation) < session_of(self.own_member.incarnation)

    def _merge_own(self, update: Update, state: MemberState, now: float) -> None:
        """Refute an update that declares this process gone, or that a predecessor left."""
        own_incarnation = self.own_member.incarnation
        if self.leaving:
            return
        if state in (MemberState.DEAD, MemberState.LEFT):
            self._record_declared_dead(update, now)
        if update.incarnation < own_incarnation:
            return
        if update.incarnation == own_incarnation and state is MemberState.ALIVE:
            return
        if session_of(update.incarnation) == session_of(own_incarnation):
            self.own_member.incarnation = update.incarnation + 1
        else:
            self.own_member.incarnation = self.initial_incarnation = next_session(
                update.incarnation
            )
        if update.address != self.own_member.address:
            detail = f"also used at {update.address}; give each VM its own [vm] name"
            self.record_event(EventKind.NAME_CONFLICT, self.own_member.name, now, detail)
        self.pending_updates.append(update_of(self.own_member))

    def _record_declared_dead(self, update: Update, now: float) -> None:
        """Record that this process was declared dead, once per incarnation."""
        if (
            update.incarnation > self.last_dead_incarnation
            and update.incarnation >= self.initial_incarnation
        ):
            self.last_dead_incarnation = update.incarnation
            self.record_event(EventKind.DECLARED_DEAD, self.own_member.name, now, "rejoining")

    def _set(self, update: Update, state: MemberState, now: float) -> None:
        known = self.roster.get(update.name)
        before = known.state if known is not None else None
        self.roster.update(update, state, now)
        self.pending_updates.append(update_of(self.roster.members[update.name]))
        kind = event_of(before, state)
        if kind is not None:
            self.record_event(kind, update.name, now, update.address)


def supersedes(update: Update, state: MemberState, known: MemberView) -> bool:
    """Return True if an update takes precedence over the known entry."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return STATE_RANK[state] > STATE_RANK[known.state]


def event_of(before: MemberState | None, state: MemberState) -> EventKind | None:
    """Return the event for a state change, or None if there is none."""
    if state is MemberState.ALIVE:
        if before is MemberState.SUSPECT:
            return EventKind.REFUTED
        return None if before is MemberState.ALIVE else EventKind.JOINED
    if state is MemberState.SUSPECT:
        return None if before is MemberState.SUSPECT else EventKind.SUSPECTED
    if before not in LIVE_STATES:
        return None
    return EventKind.DIED if state is MemberState.DEAD else EventKind.LEFT
