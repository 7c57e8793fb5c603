"""What the operators' side needs of the daemon, behind small abstract bases."""

from __future__ import annotations

from abc import ABC, abstractmethod

from expression import Result

from ..config.change import Change
from ..config.document import Document
from ..exceptions import SequoiaError
from .commands import HeldKind, Subject
from .rows import ShowRow


class Readiness(ABC):
    """Whether the platform's balancer should send callers to this VM."""

    @abstractmethod
    def check(self) -> tuple[bool, str]:
        """Return whether this VM is ready, and one sentence why or why not."""


class RowSource(ABC):
    """The rows that this VM can show; each subject's row type is in `rows.ROWS`."""

    @abstractmethod
    async def rows(self, subject: Subject, of: str | None) -> Result[list[ShowRow], SequoiaError]:
        """Return this VM's rows of a subject.

        `of` is a hint that may save work: rows that it does not concern are filtered out later.
        """


class ConfigurationRepository(ABC):
    """The way to the fleet's configuration."""

    @abstractmethod
    def document(self) -> Document:
        """Return the configuration in force on this VM."""

    @abstractmethod
    async def at_version(self, version: int) -> Result[Document, SequoiaError]:
        """Return an older version, or `NotFound` with the versions that are kept."""

    @abstractmethod
    async def propose(self, change: Change, author: str, expect: int) -> Result[int, SequoiaError]:
        """Commit a change on top of version `expect` and return the new version.

        Errors: `ConflictError` that names the newer version, its author and its time, when
        `expect` is not the newest; `StoreUnavailable` when nothing is known to be written.
        """

    @abstractmethod
    def count_in_force(self, version: int) -> tuple[int, int]:
        """Return (n, m): a version, or a newer one, is known to be in force on n of m live VMs."""


class Releaser(ABC):
    """What an operator's word can free."""

    @abstractmethod
    async def describe(self, kind: HeldKind, name: str) -> Result[str, SequoiaError]:
        """Return a sentence that says what is held under this name, or `NotFound`."""

    @abstractmethod
    async def release(self, kind: HeldKind, name: str, author: str) -> Result[str, SequoiaError]:
        """Release it and return a sentence that says what was done, or `NotFound`."""
