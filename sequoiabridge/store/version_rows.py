"""Rows of the fleet's configuration in the table service, and what a proposal may end in."""

import msgspec

CONFIGURATION_TABLE = "configuration"
"""Table of the head row and of the changes."""

HEAD_KEY = "head"
"""Key of the one row that says which version is the newest."""

CHANGE_PREFIX = "change/"
"""Prefix of the keys of the changes; the version follows in decimal, padded to sort."""

SNAPSHOT_PREFIX = "configuration-"
"""Prefix of the names of the snapshots in the object store."""

SNAPSHOT_INTERVAL = 50
"""Versions between two snapshots."""


class HeadRow(msgspec.Struct, frozen=True):
    """The newest version, who set it and when (wall time), and the token of that change.

    `fences` counts rewrites that only make proposals on their way fail.
    """

    version: int
    author: str
    at: float
    token: str
    fences: int = 0


class ChangeRow(msgspec.Struct, frozen=True):
    """The change that made `version` out of the one before; `change` is the configuration's own."""

    version: int
    author: str
    at: float
    token: str
    change: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration as of `version`; `data` is the configuration's own encoding."""

    version: int
    data: bytes


class LoadedConfiguration(msgspec.Struct, frozen=True):
    """The newest version: a snapshot and all changes after it up to `head`."""

    head: HeadRow
    snapshot: Snapshot
    changes: list[ChangeRow]


HEAD_DECODER = msgspec.msgpack.Decoder(HeadRow)
CHANGE_DECODER = msgspec.msgpack.Decoder(ChangeRow)
ENCODER = msgspec.msgpack.Encoder()

NO_VERSION = HeadRow(0, "", 0.0, "")
"""The head before the first change."""


NO_SNAPSHOT = Snapshot(0, b"")
"""The empty configuration, from which the first change is made."""


def change_key(version: int) -> str:
    """Return the key of the change that made `version`."""
    return f"{CHANGE_PREFIX}{version:012d}"


def snapshot_name(version: int) -> str:
    """Return the object's name of the snapshot of `version`."""
    return f"{SNAPSHOT_PREFIX}{version:012d}"


class ProposalResult:
    """Base of all outcomes of `Versions.propose`."""

    __slots__ = ()


class Accepted(ProposalResult):
    """Proven committed as `version`; `row` is the change, so that it need not be read again."""

    __slots__ = ("version", "row")

    def __init__(self, row: ChangeRow):
        self.version = row.version
        self.row = row


class Conflict(ProposalResult):
    """Proven not committed: `author` set the newer `version` first, at wall time `at`."""

    __slots__ = ("version", "author", "at")

    def __init__(self, version: int, author: str, at: float):
        self.version = version
        self.author = author
        self.at = at


class Unproven(ProposalResult):
    """It may be committed, now or later; `Versions.resolve` finds out when the store is back."""

    __slots__ = ("version", "token", "message")

    def __init__(self, version: int, token: str, message: str):
        self.version = version
        self.token = token
        self.message = message


class NotAccepted(ProposalResult):
    """Proven not committed and never will be, without a newer version known; propose again."""

    __slots__ = ("message",)

    def __init__(self, message: str):
        self.message = message
