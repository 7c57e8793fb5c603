"""Abstract interfaces through which the operators' code uses the rest of the daemon."""

from __future__ import annotations

from abc import ABC, abstractmethod

from expression import Result

from ..config.change import Change
from ..config.document import Document
from ..exceptions import SequoiaError
from .commands import HeldKind, Subject
from .rows import ShowRow


class Readiness(ABC):
    """Readiness of this VM, as reported to the health check of the platform's load balancer."""

    @abstractmethod
    def check(self) -> tuple[bool, str]:
        """Return whether this VM is ready, and one sentence with the reason."""


class RowSource(ABC):
    """Source of this VM's rows for `show`; `rows.ROWS` has the row type of each subject."""

    @abstractmethod
    async def rows(self, subject: Subject, of: str | None) -> Result[list[ShowRow], SequoiaError]:
        """Return this VM's rows of a subject.

        `of` is an optional hint: the caller filters out rows that do not match it.
        """


class ConfigurationRepository(ABC):
    """Reads and changes the configuration of the fleet."""

    @abstractmethod
    def document(self) -> Document:
        """Return the configuration in force on this VM."""

    @abstractmethod
    async def at_version(self, version: int) -> Result[Document, SequoiaError]:
        """Return a version of the configuration, or `NotFound` if it is no longer stored."""

    @abstractmethod
    async def propose(self, change: Change, author: str, expect: int) -> Result[int, SequoiaError]:
        """Commit a change on top of version `expect` and return the new version.

        Errors: `ConflictError` with the newer version, its author and its time if `expect` is not
        the latest version; `StoreUnavailable` if the write could not be confirmed.
        """

    @abstractmethod
    def count_in_force(self, version: int) -> tuple[int, int]:
        """Return (n, m): `version` or a newer one is confirmed in force on n of m live VMs."""


class Releaser(ABC):
    """Releases blocked requests, open claims and held uploads."""

    @abstractmethod
    async def describe(self, kind: HeldKind, name: str) -> Result[str, SequoiaError]:
        """Return one sentence that describes a held object, or `NotFound`."""

    @abstractmethod
    async def release(self, kind: HeldKind, name: str, author: str) -> Result[str, SequoiaError]:
        """Release a held object; return one sentence that says what was done, or `NotFound`."""
