"""Exceptions of the project; each message says what is wrong and what to do about it."""

from .outcome import Outcome, Reason


class SequoiaError(Exception):
    """Base class of the project's exceptions.

    The command line tool prints the message and exits with `exit_code`.
    """

    exit_code = 1


class ConfigurationError(SequoiaError):
    """A settings file or a fleet configuration is invalid."""

    exit_code = 2


class ConflictError(SequoiaError):
    """Another operator's change was accepted first; the message names its version and author."""

    exit_code = 3


class StoreUnavailable(SequoiaError):
    """The platform's store did not answer in time; whether anything was written is unknown.

    `sent` is false only if no byte of the request was sent, so that nothing was written.
    """

    exit_code = 4

    def __init__(self, message: str, *, sent: bool = True):
        super().__init__(message)
        self.sent = sent


class StoreRefused(StoreUnavailable):
    """The platform's store answered that it is overloaded or unavailable; nothing was written."""


class ConditionFailed(StoreRefused):
    """A condition of a transaction was not met; nothing was written."""


class HistoryLost(StoreRefused):
    """The platform's store no longer has the requested changes; all rows must be read again."""


class BadEntry(SequoiaError):
    """Data from another process, such as a row or a message, is invalid.

    Attributes:
        key: Key of the row that contains the data; "" if there is none.
    """

    def __init__(self, message: str, key: str = ""):
        super().__init__(message)
        self.key = key


class AdminError(SequoiaError):
    """A daemon's admin port rejected a command or could not be reached."""

    exit_code = 5


class CallerGone(SequoiaError):
    """The caller closed its connection before the request or the response was complete."""


class UpstreamFailed(SequoiaError):
    """An attempt at an upstream failed.

    `sent` is true if a byte of the request may have reached the upstream. Then only the upstream
    can prove that the request did not run. `refused` is true if nothing listens at the address.
    """

    def __init__(self, message: str, *, sent: bool, timed_out: bool = False, refused: bool = False):
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out
        self.refused = refused


class NoFreeConnection(UpstreamFailed):
    """This VM's share of connections to an upstream is in use; the upstream has not failed."""


class PeerFailed(UpstreamFailed):
    """A peer opened no connection to an upstream; `status` is its answer, None without one."""

    def __init__(self, message: str, status: int | None = None, *, refused: bool = False):
        super().__init__(message, sent=False, refused=refused)
        self.status = status


class PeerRequestRejected(SequoiaError):
    """A request for a connection that came from a peer is answered with this status."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class SendWithheld(SequoiaError):
    """A call was not sent since its upstream may get none now; the message names the reason."""


class Refusal(SequoiaError):
    """A final response that the daemon generates itself.

    Args:
        status: HTTP status code.
        outcome: Whether the request ran; `NOT_RUN` only if that is proven.
        reason: Reason for metrics, the journal and the `Sequoia-Reason` header.
        message: Sentence for the caller that includes the remedy.
        retry_after: Seconds after which the caller may retry, or None.

    Attributes:
        request_id: The id of the request, or None; set by the pipeline.
    """

    def __init__(
        self,
        status: int,
        outcome: Outcome,
        reason: Reason,
        message: str,
        retry_after: float | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.outcome = outcome
        self.reason = reason
        self.retry_after = retry_after
        self.request_id: str | None = None
