"""Results of an attempt to claim a request."""

from .claim_rows import ClaimRow


class ClaimResult:
    """Base class of the results of `Claims.acquire`."""

    __slots__ = ()


class ClaimGranted(ClaimResult):
    """Only this attempt may send the request, and only until `deadline` (monotonic clock).

    `version` is the last known version of the row.
    """

    __slots__ = ("row_key", "row", "version", "deadline")

    def __init__(self, row_key: str, row: ClaimRow, version: int, deadline: float):
        self.row_key = row_key
        self.row = row
        self.version = version
        self.deadline = deadline


class ClaimReplay(ClaimResult):
    """The request has run before; its answer is replayed. `body` is None if none is stored."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes | None):
        self.status = status
        self.headers = headers
        self.body = body


class ClaimBusy(ClaimResult):
    """Another attempt holds the claim, on `vm` since `since` (wall time)."""

    __slots__ = ("vm", "since")

    def __init__(self, vm: str, since: float):
        self.vm = vm
        self.since = since


class ClaimUnknown(ClaimResult):
    """An earlier attempt may have run. Only its holder or an operator can end the claim."""

    __slots__ = ("vm", "since")

    def __init__(self, vm: str, since: float):
        self.vm = vm
        self.since = since


class ClaimMismatch(ClaimResult):
    """The key was used with a different body. The caller has to use a new key."""

    __slots__ = ()


class ClaimUnavailable(ClaimResult):
    """The claim could not be confirmed in time. Nothing is ever sent under it.

    This proves that this request has not run. It says nothing about earlier requests with the key.
    """

    __slots__ = ("message",)

    def __init__(self, message: str):
        self.message = message
