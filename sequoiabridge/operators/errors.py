"""Error kinds of the operators' side; the admin server turns each into an HTTP status."""

from ..exceptions import SequoiaError


class LanguageError(SequoiaError):
    """A command is not in the language.

    Args:
        message: What was found and what was expected; the tool puts the column before it.
        column: Where, counted from 1.
        expected: What may stand there, in words that an operator can type or look up.
    """

    exit_code = 2

    def __init__(self, message: str, column: int, expected: list[str] | None = None):
        super().__init__(message)
        self.column = column
        self.expected = expected or []


class InvalidChange(SequoiaError):
    """A change leads to a configuration that is not valid; `problems` has a line for each."""

    exit_code = 2

    def __init__(self, message: str, problems: list[str]):
        super().__init__(message)
        self.problems = problems


class NotFound(SequoiaError):
    """Nothing of that name is known; the message says where it was looked for."""


class RequestRejected(SequoiaError):
    """The admin port refuses a request before it does anything.

    Args:
        status: HTTP status code.
        kind: Fixed word for scripts.
        message: One sentence that names the remedy.
    """

    def __init__(self, status: int, kind: str, message: str):
        super().__init__(message)
        self.status = status
        self.kind = kind


class ConfigurationBehind(SequoiaError):
    """This VM has not caught up with the version that the operator expects."""

    exit_code = 4
