"""Error kinds of the project; each message says what is wrong and what to do about it."""

from .outcome import Outcome, Reason


class SequoiaError(Exception):
    """Base of all errors that the project raises on purpose.

    The command line prints the message as one sentence and exits with `exit_code`.
    """

    exit_code = 1


class ConfigurationError(SequoiaError):
    """A settings file or a fleet configuration is not valid."""

    exit_code = 2


class ConflictError(SequoiaError):
    """Another operator's change came first; the message names the newer version and its author."""

    exit_code = 3


class StoreUnavailable(SequoiaError):
    """The platform's service gave no answer in time; nothing is known to have been written.

    `sent` is false only if no byte of the call has left, which is proof that nothing was written.
    """

    exit_code = 4

    def __init__(self, message: str, *, sent: bool = True):
        super().__init__(message)
        self.sent = sent


class StoreRefused(StoreUnavailable):
    """The platform's service answered that it is too busy or away; nothing was done."""


class ConditionFailed(StoreRefused):
    """A condition of a transaction did not hold; nothing was written."""


class HistoryLost(StoreRefused):
    """The platform's service no longer knows what changed since; all rows must be read."""


class BadEntry(SequoiaError):
    """Something that another writer wrote cannot be used; it names nothing to work with.

    Attributes:
        key: Key of the row that it stands in, "" if it is in none.
    """

    def __init__(self, message: str, key: str = ""):
        super().__init__(message)
        self.key = key


class AdminError(SequoiaError):
    """A daemon's admin port refused a command or could not be reached."""

    exit_code = 5


class CallerGone(SequoiaError):
    """The caller closed its connection before its request or its answer was complete."""


class UpstreamFailed(SequoiaError):
    """An attempt at an upstream failed.

    `sent` is true if a byte of the request may have reached the upstream, and then only the
    upstream's own word can prove that the request did not run.
    """

    def __init__(self, message: str, *, sent: bool, timed_out: bool = False):
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out


class NoFreeConnection(UpstreamFailed):
    """All connections that this VM may have to an upstream are in use; it is not at fault."""


class Refusal(SequoiaError):
    """A final answer that the daemon makes itself.

    Args:
        status: HTTP status code.
        outcome: `NOT_RUN` only when proven; see `Outcome`.
        reason: Fixed word for metrics, the journal and the `Sequoia-Reason` header.
        message: One sentence for the caller that names the remedy.
        retry_after: Seconds after which a new try makes sense, or None.

    Attributes:
        request_id: The request's id if it has one already, set by the pipeline.
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
