"""Runs the operators' commands: shows state, proposes changes, releases held objects."""

from __future__ import annotations

from urllib.parse import quote

from expression import Error, Ok, Result

from ..config.document import Document
from ..exceptions import SequoiaError
from ..formatting import format_count
from ..timers import Clock
from .bases import ConfigurationRepository, Releaser, RowSource
from .changes import (
    Proposal,
    check_expected_version,
    difference_table,
    propose_command,
    propose_document,
)
from .commands import ChangeCommand, Command, Diff, Explain, Release, Show, Subject
from .errors import LanguageError, NotFound
from .filtering import RowTest, compile_tests, filter_rows
from .gather import Gatherer
from .journal import Journal
from .parser import parse
from .reply import Reply
from .rows import FLEET_SUBJECTS, ROWS, ShowRow, fields_of

DEFAULT_LIMIT = 1000
"""Maximum number of rows in an answer to a command without `limit`."""

ReplyResult = Result[Reply, SequoiaError]


class Executor:
    """Runs commands on this VM and queries its peers for rows that only they have."""

    def __init__(
        self,
        vm: str,
        clock: Clock,
        source: RowSource,
        configuration: ConfigurationRepository,
        releaser: Releaser,
        journal: Journal,
        gatherer: Gatherer,
    ):
        self.vm = vm
        self.clock = clock
        self.source = source
        self.configuration = configuration
        self.releaser = releaser
        self.journal = journal
        self.gatherer = gatherer

    async def execute(self, text: str, author: str) -> ReplyResult:
        """Parse and run a command."""
        parsed = parse(text)
        if parsed.is_error():
            return Error(parsed.error)
        return await self.run(parsed.ok, text, author)

    async def run(self, command: Command, text: str, author: str) -> ReplyResult:
        """Run a command; `text` is its source, which is sent to peers."""
        if isinstance(command, Show):
            return await self._show(command, text)
        if isinstance(command, Explain):
            return await self.explain(command.request_id)
        if isinstance(command, Diff):
            return await self._diff(command)
        if isinstance(command, Release):
            return await self._release(command, author)
        return await self._change(command, author)

    async def apply(self, text: str, author: str, expect: int | None, dry_run: bool) -> ReplyResult:
        """Replace the configuration with an INI document."""
        proposal = propose_document(
            self.configuration.document(), text, author, expect, self.clock.wall()
        )
        return await self._propose(proposal, author, dry_run)

    async def local_rows(self, text: str) -> Result[list[ShowRow], SequoiaError]:
        """Return this VM's rows for a `show` command that a peer has sent."""
        parsed = parse(text)
        if parsed.is_error():
            return Error(parsed.error)
        if not isinstance(parsed.ok, Show):
            return Error(LanguageError("only show commands return rows; write show …", 1, ["show"]))
        tests = compile_tests(parsed.ok)
        if tests.is_error():
            return Error(tests.error)
        return await self._own_rows(parsed.ok, tests.ok)

    async def explain(self, request_id: str) -> ReplyResult:
        """Return the lines about a request from this VM's journal, else from its peers."""
        own = self.journal.explain(request_id)
        if own is not None:
            return Ok(self._reply(["vm", "line"], [[self.vm, line] for line in own]))
        gathered = await self.gatherer.gather(f"/explain/{quote(request_id, safe='')}?local=1")
        found = await gathered.decode_answers(list[str])
        rows = [[vm, line] for vm, lines in found.items() for line in lines]
        if not rows:
            return Error(NotFound(not_found_message(request_id, gathered.failures)))
        return Ok(self._reply(["vm", "line"], rows, [self.vm, *found], gathered.failures))

    async def _show(self, show: Show, text: str) -> ReplyResult:
        tests = compile_tests(show)
        if tests.is_error():
            return Error(tests.error)
        own = await self._own_rows(show, tests.ok)
        if own.is_error():
            return Error(own.error)
        rows, answered, failures = own.ok, [self.vm], {}
        if show.subject in FLEET_SUBJECTS:
            peer_rows, answered, failures = await self._peer_rows(show, text)
            rows = sort_rows(rows + peer_rows, show)
        limit = row_limit(show)
        columns = fields_of(show.subject)
        table = [[getattr(row, column) for column in columns] for row in rows[:limit]]
        is_truncated = len(rows) > limit and show.limit is None
        message = (
            f"Only the first {limit} rows are shown; add where, or limit N for more."
            if is_truncated
            else ""
        )
        return Ok(self._reply(columns, table, answered, failures, message))

    async def _own_rows(
        self, show: Show, tests: list[RowTest]
    ) -> Result[list[ShowRow], SequoiaError]:
        found = await self.source.rows(show.subject, show.of)
        if found.is_error():
            return found
        # One row over the limit marks the result as truncated.
        rows = sort_rows(await filter_rows(found.ok, tests), show)
        return Ok(rows[: row_limit(show) + 1])

    async def _peer_rows(
        self, show: Show, text: str
    ) -> tuple[list[ShowRow], list[str], dict[str, str]]:
        gathered = await self.gatherer.gather(f"/rows?command={quote(text, safe='')}")
        found = await gathered.decode_answers(list[ROWS[show.subject]])
        rows = [row for others in found.values() for row in others]
        return rows, [self.vm, *found], gathered.failures

    async def _diff(self, command: Diff) -> ReplyResult:
        documents: list[Document] = []
        for version in (command.old, command.new):
            found = await self.configuration.at_version(version)
            if found.is_error():
                return Error(found.error)
            documents.append(found.ok)
        columns, rows = difference_table(*documents)
        message = (
            f"{format_count(len(rows), 'difference')} from version {command.old} to {command.new}."
        )
        return Ok(self._reply(columns, rows, message=message))

    async def _change(self, command: ChangeCommand, author: str) -> ReplyResult:
        proposal = propose_command(
            self.configuration.document(), command, author, self.clock.wall()
        )
        return await self._propose(proposal, author, command.dry_run)

    async def _propose(
        self, proposal: Result[Proposal, SequoiaError], author: str, dry_run: bool
    ) -> ReplyResult:
        if proposal.is_error():
            return Error(proposal.error)
        old, new, change = proposal.ok.old, proposal.ok.new, proposal.ok.change
        columns, rows = difference_table(old, new)
        if not change:
            message = f"Nothing to change: version {old.version} already matches."
            return Ok(self._reply(columns, rows, message=message))
        if dry_run:
            message = f"Dry run: valid on top of version {old.version}; nothing was changed."
            return Ok(self._reply(columns, rows, message=message))
        accepted = await self.configuration.propose(change, author, old.version)
        if accepted.is_error():
            return Error(accepted.error)
        message = accepted_message(accepted.ok, *self.configuration.count_in_force(accepted.ok))
        reply = self._reply(columns, rows, message=message)
        reply.version = accepted.ok
        return Ok(reply)

    async def _release(self, command: Release, author: str) -> ReplyResult:
        expected = check_expected_version(self.configuration.document(), command.expect)
        if expected.is_error():
            return Error(expected.error)
        if command.dry_run:
            result = await self.releaser.describe(command.kind, command.name)
        else:
            result = await self.releaser.release(command.kind, command.name, author)
        if result.is_error():
            return Error(result.error)
        return Ok(self._reply([], [], message=result.ok))

    def _reply(
        self,
        columns: list[str],
        rows: list[list],
        answered: list[str] | None = None,
        failures: dict[str, str] | None = None,
        message: str = "",
    ) -> Reply:
        version = self.configuration.document().version
        return Reply(columns, rows, answered or [self.vm], failures or {}, version, message)


def row_limit(show: Show) -> int:
    """Return the maximum number of rows to show."""
    return DEFAULT_LIMIT if show.limit is None else show.limit


def sort_rows(rows: list[ShowRow], show: Show) -> list[ShowRow]:
    """Sort rows of several VMs by their first two columns; refusals are newest first."""
    if show.subject not in FLEET_SUBJECTS:
        return rows
    return sorted(rows, key=sort_key, reverse=show.subject is Subject.REFUSALS)


def sort_key(row: ShowRow) -> tuple[str, str]:
    """Return the first two columns, which are strings for all `FLEET_SUBJECTS`."""
    first, second = row.__struct_fields__[:2]
    return getattr(row, first), getattr(row, second)


def accepted_message(version: int, confirmed: int, live: int) -> str:
    """Return the message for an accepted change: its version and the VMs that apply it."""
    if confirmed < live:
        return (
            f"Accepted as version {version}, in force on {confirmed} of {live} VMs so far; "
            "see show vms."
        )
    return f"Accepted as version {version}, in force on {confirmed} of {live} VMs."


def not_found_message(request_id: str, failures: dict[str, str]) -> str:
    """Return the message for a request that no journal contains; it names VMs without an answer."""
    message = f"No journal contains {request_id}; journals keep only the most recent calls."
    if not failures:
        return message
    return f"{message} No answer from: {', '.join(sorted(failures))}."
