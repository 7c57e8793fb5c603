"""Carries out the operators' commands: reads state, proposes changes, releases what is held."""

from __future__ import annotations

from urllib.parse import quote

from expression import Error, Ok, Result

from ..config.document import Document
from ..exceptions import SequoiaError
from ..formatting import format_count
from ..timers import Clock
from .bases import ConfigurationRepository, Releaser, RowSource
from .changes import Proposal, check_expected, propose_command, propose_document, row_table
from .commands import ChangeCommand, Command, Diff, Explain, Release, Show, Subject
from .errors import LanguageError, NotFound
from .filtering import Test, chosen, compile_tests
from .gather import Gatherer
from .journal import Journal
from .parser import parse
from .reply import Reply
from .rows import FLEET_SUBJECTS, ROWS, ShowRow, fields_of

DEFAULT_LIMIT = 1000
"""Rows of an answer when the command names no limit: a long one holds up calls on this VM."""

Replied = Result[Reply, SequoiaError]


class Executor:
    """Runs commands on this VM, and asks the others where each knows only a part."""

    def __init__(
        self,
        vm: str,
        clock: Clock,
        source: RowSource,
        gate: ConfigurationRepository,
        releases: Releaser,
        journal: Journal,
        gatherer: Gatherer,
    ):
        self.vm = vm
        self.clock = clock
        self.source = source
        self.gate = gate
        self.releases = releases
        self.journal = journal
        self.gatherer = gatherer

    async def execute(self, text: str, author: str) -> Replied:
        """Parse and run one command."""
        parsed = parse(text)
        if parsed.is_error():
            return Error(parsed.error)
        return await self.run(parsed.ok, text, author)

    async def run(self, command: Command, text: str, author: str) -> Replied:
        """Run one command; `text` is its own text, for the other VMs."""
        if isinstance(command, Show):
            return await self._show(command, text)
        if isinstance(command, Explain):
            return await self.explain(command.request_id)
        if isinstance(command, Diff):
            return await self._diff(command)
        if isinstance(command, Release):
            return await self._release(command, author)
        return await self._change(command, author)

    async def apply(self, text: str, author: str, expect: int | None, dry_run: bool) -> Replied:
        """Make the configuration what an INI document says."""
        proposal = propose_document(self.gate.document(), text, author, expect, self.clock.wall())
        return await self._propose(proposal, author, dry_run)

    async def local_rows(self, text: str) -> Result[list[ShowRow], SequoiaError]:
        """Return this VM's own rows for a `show` command; asked for by other VMs."""
        parsed = parse(text)
        if parsed.is_error():
            return Error(parsed.error)
        if not isinstance(parsed.ok, Show):
            return Error(LanguageError("Only show has rows; write show …", 1, ["show"]))
        tests = compile_tests(parsed.ok)
        if tests.is_error():
            return Error(tests.error)
        return await self._own_rows(parsed.ok, tests.ok)

    async def explain(self, request_id: str) -> Replied:
        """Return what this VM's journal says about a request, else what the others' say."""
        own = self.journal.explain(request_id)
        if own is not None:
            return Ok(self._reply(["vm", "line"], [[self.vm, line] for line in own]))
        gathered = await self.gatherer.gather(f"/explain/{quote(request_id, safe='')}?local=1")
        found = await gathered.decoded(list[str])
        rows = [[vm, line] for vm, lines in found.items() for line in lines]
        if not rows:
            return Error(NotFound(not_explained(request_id, gathered.not_heard)))
        return Ok(self._reply(["vm", "line"], rows, [self.vm, *found], gathered.not_heard))

    async def _show(self, show: Show, text: str) -> Replied:
        tests = compile_tests(show)
        if tests.is_error():
            return Error(tests.error)
        own = await self._own_rows(show, tests.ok)
        if own.is_error():
            return Error(own.error)
        rows, heard, not_heard = own.ok, [self.vm], {}
        if show.subject in FLEET_SUBJECTS:
            more, heard, not_heard = await self._others_rows(show, text)
            rows = ordered(rows + more, show)
        limit = limit_of(show)
        columns = fields_of(show.subject)
        table = [[getattr(row, column) for column in columns] for row in rows[:limit]]
        cut = len(rows) > limit and show.limit is None
        message = f"Only the first {limit} rows; add where, or limit N for more." if cut else ""
        return Ok(self._reply(columns, table, heard, not_heard, message))

    async def _own_rows(self, show: Show, tests: list[Test]) -> Result[list[ShowRow], SequoiaError]:
        found = await self.source.rows(show.subject, show.of)
        if found.is_error():
            return found
        # One row over the limit shows that there are more.
        rows = ordered(await chosen(found.ok, tests), show)
        return Ok(rows[: limit_of(show) + 1])

    async def _others_rows(
        self, show: Show, text: str
    ) -> tuple[list[ShowRow], list[str], dict[str, str]]:
        gathered = await self.gatherer.gather(f"/rows?command={quote(text, safe='')}")
        found = await gathered.decoded(list[ROWS[show.subject]])
        rows = [row for others in found.values() for row in others]
        return rows, [self.vm, *found], gathered.not_heard

    async def _diff(self, command: Diff) -> Replied:
        documents: list[Document] = []
        for version in (command.old, command.new):
            found = await self.gate.at_version(version)
            if found.is_error():
                return Error(found.error)
            documents.append(found.ok)
        columns, rows = row_table(*documents)
        message = (
            f"{format_count(len(rows), 'difference')} from version {command.old} to {command.new}."
        )
        return Ok(self._reply(columns, rows, message=message))

    async def _change(self, command: ChangeCommand, author: str) -> Replied:
        proposal = propose_command(self.gate.document(), command, author, self.clock.wall())
        return await self._propose(proposal, author, command.dry_run)

    async def _propose(
        self, proposal: Result[Proposal, SequoiaError], author: str, dry_run: bool
    ) -> Replied:
        if proposal.is_error():
            return Error(proposal.error)
        old, new, change = proposal.ok.old, proposal.ok.new, proposal.ok.change
        columns, rows = row_table(old, new)
        if not change:
            message = f"Nothing to change: version {old.version} has it already."
            return Ok(self._reply(columns, rows, message=message))
        if dry_run:
            message = f"Dry run: valid on top of version {old.version}; nothing was changed."
            return Ok(self._reply(columns, rows, message=message))
        accepted = await self.gate.propose(change, author, old.version)
        if accepted.is_error():
            return Error(accepted.error)
        message = accepted_as(accepted.ok, *self.gate.count_in_force(accepted.ok))
        reply = self._reply(columns, rows, message=message)
        reply.version = accepted.ok
        return Ok(reply)

    async def _release(self, command: Release, author: str) -> Replied:
        expected = check_expected(self.gate.document(), command.expect)
        if expected.is_error():
            return Error(expected.error)
        if command.dry_run:
            done = await self.releases.held(command.held, command.name)
        else:
            done = await self.releases.release(command.held, command.name, author)
        if done.is_error():
            return Error(done.error)
        return Ok(self._reply([], [], message=done.ok))

    def _reply(
        self,
        columns: list[str],
        rows: list[list],
        heard: list[str] | None = None,
        not_heard: dict[str, str] | None = None,
        message: str = "",
    ) -> Reply:
        version = self.gate.document().version
        return Reply(columns, rows, heard or [self.vm], not_heard or {}, version, message)


def limit_of(show: Show) -> int:
    """Return how many rows are shown at most."""
    return DEFAULT_LIMIT if show.limit is None else show.limit


def ordered(rows: list[ShowRow], show: Show) -> list[ShowRow]:
    """Put rows of several VMs in order: by their first two columns, refusals newest first."""
    if show.subject not in FLEET_SUBJECTS:
        return rows
    return sorted(rows, key=sort_key, reverse=show.subject is Subject.REFUSALS)


def sort_key(row: ShowRow) -> tuple[str, str]:
    """Return the first two columns, which are texts in all rows that are gathered."""
    first, second = row.__struct_fields__[:2]
    return getattr(row, first), getattr(row, second)


def accepted_as(version: int, confirmed: int, live: int) -> str:
    """Say that a change is accepted, and on how many VMs it is known to be in force by now."""
    if confirmed < live:
        return (
            f"Accepted as version {version}, in force on {confirmed} of {live} VMs yet; "
            "see show vms."
        )
    return f"Accepted as version {version}, in force on {confirmed} of {live} VMs."


def not_explained(request_id: str, not_heard: dict[str, str]) -> str:
    """Say that no journal has a request, and what else it may mean."""
    message = f"No journal knows {request_id}; journals keep the last calls only."
    if not not_heard:
        return message
    return f"{message} Not heard: {', '.join(sorted(not_heard))}."
