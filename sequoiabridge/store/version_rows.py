"""Rows of the fleet's configuration in the table service, and results of a proposal."""

import msgspec

CONFIGURATION_TABLE = "configuration"
"""Name of the table of the head row and the changes."""

HEAD_KEY = "head"
"""Key of the row that names the newest version."""

CHANGE_PREFIX = "change/"
"""Prefix of the keys of changes. The version follows, padded with zeros so that keys sort."""

SNAPSHOT_PREFIX = "configuration-"
"""Prefix of the names of snapshots in the object store."""

SNAPSHOT_INTERVAL = 50
"""Number of versions between two snapshots."""


class HeadRow(msgspec.Struct, frozen=True):
    """The newest version, its author, its wall time, and the token of its change.

    `fences` counts the rewrites of the row that only make proposals in flight fail.
    """

    version: int
    author: str
    at: float
    token: str
    fences: int = 0


class ChangeRow(msgspec.Struct, frozen=True):
    """The change that leads to `version`. `change` is encoded by the configuration."""

    version: int
    author: str
    at: float
    token: str
    change: bytes


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration as of `version`. `data` is encoded by the configuration."""

    version: int
    data: bytes


class LoadedConfiguration(msgspec.Struct, frozen=True):
    """A snapshot and all changes after it, up to the version of `head`."""

    head: HeadRow
    snapshot: Snapshot
    changes: list[ChangeRow]


HEAD_DECODER = msgspec.msgpack.Decoder(HeadRow)
CHANGE_DECODER = msgspec.msgpack.Decoder(ChangeRow)
ENCODER = msgspec.msgpack.Encoder()

NO_VERSION = HeadRow(0, "", 0.0, "")
"""The head before the first change."""


NO_SNAPSHOT = Snapshot(0, b"")
"""The empty configuration, to which the first change applies."""


def change_key(version: int) -> str:
    """Return the key of the change that leads to `version`."""
    return f"{CHANGE_PREFIX}{version:012d}"


def snapshot_name(version: int) -> str:
    """Return the name of the object that holds the snapshot of `version`."""
    return f"{SNAPSHOT_PREFIX}{version:012d}"


class ProposalResult:
    """Base class of the results of `Versions.propose`."""

    __slots__ = ()


class Accepted(ProposalResult):
    """The change is proven to be committed as `version`. `row` is the change as stored."""

    __slots__ = ("version", "row")

    def __init__(self, row: ChangeRow):
        self.version = row.version
        self.row = row


class Conflict(ProposalResult):
    """The change is not committed: `author` committed `version` first, at wall time `at`."""

    __slots__ = ("version", "author", "at")

    def __init__(self, version: int, author: str, at: float):
        self.version = version
        self.author = author
        self.at = at


class Unproven(ProposalResult):
    """The change may be committed, now or later. `Versions.resolve` determines the outcome."""

    __slots__ = ("version", "token", "message")

    def __init__(self, version: int, token: str, message: str):
        self.version = version
        self.token = token
        self.message = message


class NotAccepted(ProposalResult):
    """The change is not committed and never will be. It may be proposed again."""

    __slots__ = ("message",)

    def __init__(self, message: str):
        self.message = message
