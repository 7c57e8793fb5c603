"""The columns of the matrix: the steps of a call, of a change, of an upload and of a stop."""

from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum

import curio

from .virtual import OwnedTask, adopt


class Group(Enum):
    """What a step belongs to; each group has one script."""

    CALL = "call"
    CONFIGURATION = "configuration"
    UPLOAD = "upload"
    STOP = "stop"


class Step(Enum):
    """A column: group and name."""

    CONNECT = (Group.CALL, "connect")
    READ_HEAD = (Group.CALL, "read head")
    ADMIT = (Group.CALL, "admit")
    MATCH = (Group.CALL, "match rule")
    CLAIM = (Group.CALL, "claim")
    CHOOSE = (Group.CALL, "choose")
    OPEN = (Group.CALL, "open connection")
    SEND_HEAD = (Group.CALL, "send head")
    SEND_BODY = (Group.CALL, "send body")
    WAIT = (Group.CALL, "wait")
    RELAY = (Group.CALL, "relay answer")
    RECORD = (Group.CALL, "record outcome")
    REPLY = (Group.CALL, "reply")
    PROPOSED = (Group.CONFIGURATION, "proposed")
    COMMITTED = (Group.CONFIGURATION, "committed")
    SPREAD = (Group.CONFIGURATION, "spread")
    APPLIED = (Group.CONFIGURATION, "applied")
    JOIN = (Group.CONFIGURATION, "new VM joins")
    CHUNK = (Group.UPLOAD, "chunk")
    COMMIT = (Group.UPLOAD, "commit")
    DELIVER = (Group.UPLOAD, "deliver")
    RESUME = (Group.UPLOAD, "resume")
    CLEAN_UP = (Group.UPLOAD, "clean up")
    DRAIN = (Group.STOP, "drain begins")
    LAST_ENDS = (Group.STOP, "last request ends")
    LEAVE = (Group.STOP, "leave")

    @property
    def group(self) -> Group:
        """The group of steps that this one belongs to."""
        return self.value[0]

    @property
    def title(self) -> str:
        """The name in the table."""
        return self.value[1]


class Moment(Enum):
    """For a step that writes to the store: before or after the write takes effect."""

    BEFORE = "before"
    AFTER = "after"


class Subject:
    """Who was at the step when it was reached: names of the VM and the upstream, if known."""

    __slots__ = ("vm", "upstream")

    def __init__(self, vm: str = "", upstream: str = ""):
        self.vm = vm
        self.upstream = upstream


Action = Callable[[Subject], Awaitable[None]]


class Armed:
    """An action that waits for a step to be reached; it is done once."""

    __slots__ = ("step", "moment", "action", "fired")

    def __init__(self, step: Step, moment: Moment, action: Action):
        self.step = step
        self.moment = moment
        self.action = action
        self.fired = False


class Steps:
    """Told by the fakes which step is reached; lets armed faults happen right there.

    Nothing is counted or fired before `open` is set, so that a warm-up is left alone.
    """

    def __init__(self):
        self.armed: list[Armed] = []
        self.seen: Counter[tuple[Step, Moment]] = Counter()
        self.open = False
        self.soon: list[tuple[Step, str]] = []
        self.wake = curio.UniversalEvent()

    def arm(self, step: Step, moment: Moment, action: Action) -> Armed:
        """Do `action` when `step` is next reached."""
        armed = Armed(step, moment, action)
        self.armed.append(armed)
        return armed

    async def reached(
        self, step: Step, moment: Moment = Moment.BEFORE, vm: str = "", upstream: str = ""
    ) -> None:
        """Say that a step is reached; returns when what is armed for it has happened.

        A task of a VM that the action froze or killed gets no further than this.
        """
        if not self.open:
            return
        self.seen[step, moment] += 1
        for armed in self.armed:
            # An action before may have stopped this task until the faults were over.
            if not self.open or armed.fired:
                continue
            if armed.step is not step or armed.moment is not moment:
                continue
            armed.fired = True
            owner = OwnedTask.running.owner
            subject = Subject(vm or (owner.name if owner else ""), upstream)
            task = await adopt(None, armed.action, subject)
            await task.join()
            await curio.sleep(0)

    def reached_soon(self, step: Step, vm: str = "") -> None:
        """As `reached`, from a plain function: what is armed happens as soon as that returns."""
        if self.open:
            self.soon.append((step, vm))
            self.wake.set()

    async def serve_soon(self) -> None:
        """Do what `reached_soon` left; run as a task of the test's own."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            while self.soon:
                step, vm = self.soon.pop(0)
                await self.reached(step, vm=vm)
