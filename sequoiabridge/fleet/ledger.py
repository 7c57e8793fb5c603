"""What is believed of each VM, and which of two words about one wins.

A higher incarnation wins; on the same one, left wins over dead, dead over suspected, suspected
over alive. Only a VM itself counts its incarnation up, so only it can contradict its death.
"""

from .base import MemberState, MemberView
from .members import LIVE, RANK, Event, EventKind, state_of, update_of
from .replay import next_session, session_of
from .roster import Roster
from .wire import Update


class Ledger:
    """Takes in words about VMs and notes what they change.

    Attributes:
        started: First incarnation of this process.
        changed: Updates to be spread; the owner takes and clears them.
        events: What happened; the owner takes and clears them.
    """

    def __init__(self, me: MemberView, roster: Roster):
        self.me = me
        self.started = me.incarnation
        self.roster = roster
        self.leaving = False
        self.ended = 0
        self.changed: list[Update] = [update_of(me)]
        self.events: list[Event] = []

    def learn(self, update: Update, now: float) -> None:
        """Take in a word about any VM."""
        state = state_of(update)
        if state is None:
            return
        if update.name == self.me.name:
            self._about_me(update, state, now)
            return
        if state in LIVE and self._at_our_place(update):
            state = MemberState.DEAD
        known = self.roster.get(update.name)
        if known is None or newer(update, state, known):
            self._set(update, state, now)
        elif known.state not in LIVE and state in LIVE:
            self.changed.append(update_of(known))  # Its sender may have missed the end.

    def mark(self, member: MemberView, state: MemberState, now: float, quiet: bool) -> None:
        """Set the state of a member on this VM's own judgement; `quiet` tells nobody."""
        before = list(self.changed)
        self._set(update_of(member), state, now)
        if quiet:
            self.changed = before

    def outdated(self, name: str, incarnation: int) -> MemberView | None:
        """Return the member if a VM that speaks as this incarnation of it must be corrected."""
        known = self.roster.get(name)
        if known is None or incarnation > known.incarnation:
            return None
        if incarnation == known.incarnation and known.state is MemberState.ALIVE:
            return None
        return known

    def back(self, name: str, incarnation: int) -> MemberView | None:
        """Return what is known of a process that was declared dead and has contradicted it."""
        known = self.roster.get(name)
        if known is None or known.state is not MemberState.DEAD:
            return None
        if incarnation <= known.incarnation:
            return None
        return known if session_of(incarnation) == session_of(known.incarnation) else None

    def replace_at(self, address: str, name: str, incarnation: int, now: float) -> None:
        """End the VM that had this address before, if the one that has it now is the younger."""
        old = self.roster.at(address)
        if old is None or old.name == name or old.state not in LIVE:
            return
        if session_of(old.incarnation) >= session_of(incarnation):
            return
        self._set(update_of(old), MemberState.DEAD, now)
        self.event(EventKind.REPLACED, old.name, now, f"by {name}")

    def event(self, kind: EventKind, name: str, now: float, detail: str = "") -> None:
        """Note that something happened."""
        self.events.append(Event(kind, name, now, detail))

    def _at_our_place(self, update: Update) -> bool:
        """Return True for an older word about the VM that had our address before us."""
        if update.address != self.me.address:
            return False
        return session_of(update.incarnation) < session_of(self.me.incarnation)

    def _about_me(self, update: Update, state: MemberState, now: float) -> None:
        """Contradict a word that would have this process gone, or that an older one left over."""
        mine = self.me.incarnation
        if self.leaving:
            return
        if state in (MemberState.DEAD, MemberState.LEFT):
            self._note_own_end(update, now)
        if update.incarnation < mine:
            return
        if update.incarnation == mine and state is MemberState.ALIVE:
            return
        if session_of(update.incarnation) == session_of(mine):
            self.me.incarnation = update.incarnation + 1
        else:
            self.me.incarnation = self.started = next_session(update.incarnation)
        if update.address != self.me.address:
            detail = f"also used at {update.address}; give each VM its own [vm] name"
            self.event(EventKind.NAME_CONFLICT, self.me.name, now, detail)
        self.changed.append(update_of(self.me))

    def _note_own_end(self, update: Update, now: float) -> None:
        """This process was declared dead; once for each incarnation of it."""
        if update.incarnation > self.ended and update.incarnation >= self.started:
            self.ended = update.incarnation
            self.event(EventKind.DECLARED_DEAD, self.me.name, now, "rejoining")

    def _set(self, update: Update, state: MemberState, now: float) -> None:
        known = self.roster.get(update.name)
        before = known.state if known is not None else None
        self.roster.put(update, state, now)
        self.changed.append(update_of(self.roster.members[update.name]))
        kind = event_of(before, state)
        if kind is not None:
            self.event(kind, update.name, now, update.address)


def newer(update: Update, state: MemberState, known: MemberView) -> bool:
    """Return True if a word says more than what is known of the VM."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return RANK[state] > RANK[known.state]


def event_of(before: MemberState | None, state: MemberState) -> EventKind | None:
    """Return what a change of state means to others, or None if nothing."""
    if state is MemberState.ALIVE:
        if before is MemberState.SUSPECT:
            return EventKind.REFUTED
        return None if before is MemberState.ALIVE else EventKind.JOINED
    if state is MemberState.SUSPECT:
        return None if before is MemberState.SUSPECT else EventKind.SUSPECTED
    if before not in LIVE:
        return None
    return EventKind.DIED if state is MemberState.DEAD else EventKind.LEFT
