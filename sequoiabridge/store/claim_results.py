"""What an attempt to claim a piece of work may end in."""

from .claim_rows import ClaimRow


class ClaimResult:
    """Base of all outcomes of `Claims.acquire`."""

    __slots__ = ()


class ClaimGranted(ClaimResult):
    """This attempt alone may send the request, and nothing after `deadline` (monotonic).

    `version` is the row's version as far as known.
    """

    __slots__ = ("row_key", "row", "version", "deadline")

    def __init__(self, row_key: str, row: ClaimRow, version: int, deadline: float):
        self.row_key = row_key
        self.row = row
        self.version = version
        self.deadline = deadline


class ClaimReplay(ClaimResult):
    """The work is done; `body` is None when its answer was too large to keep."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes | None):
        self.status = status
        self.headers = headers
        self.body = body


class ClaimBusy(ClaimResult):
    """Another attempt with this key holds the claim, at `vm` since `since` (wall time)."""

    __slots__ = ("vm", "since")

    def __init__(self, vm: str, since: float):
        self.vm = vm
        self.since = since


class ClaimUnknown(ClaimResult):
    """An earlier attempt may have run, and nobody knows; only an operator can release the key."""

    __slots__ = ("vm", "since")

    def __init__(self, vm: str, since: float):
        self.vm = vm
        self.since = since


class ClaimMismatch(ClaimResult):
    """The key was used with another body; the caller is to take a new key."""

    __slots__ = ()


class ClaimUnavailable(ClaimResult):
    """The claim could not be proven in time; nothing is sent under it, now or later.

    That this request was not run is proven; it says nothing of earlier requests with its key.
    """

    __slots__ = ("message",)

    def __init__(self, message: str):
        self.message = message
