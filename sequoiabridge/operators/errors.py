"""Errors of the operators' interface; `reply.HTTP_STATUSES` has the HTTP status of each."""

from ..exceptions import SequoiaError


class LanguageError(SequoiaError):
    """A command has a syntax error or a value of the wrong type.

    Args:
        message: What was found and what was expected; the command line tool prefixes the column.
        column: Column of the error, counted from 1.
        expected: Keywords and kinds of value that are valid there.
    """

    exit_code = 2

    def __init__(self, message: str, column: int, expected: list[str] | None = None):
        super().__init__(message)
        self.column = column
        self.expected = expected or []


class InvalidChange(SequoiaError):
    """A change would make the configuration invalid; `problems` has one line per problem."""

    exit_code = 2

    def __init__(self, message: str, problems: list[str]):
        super().__init__(message)
        self.problems = problems


class NotFound(SequoiaError):
    """No object of the given name exists; the message says how to list those that do."""


class RequestRejected(SequoiaError):
    """The admin port rejects a request before processing it.

    Args:
        status: HTTP status code.
        kind: Machine-readable error code.
        message: One sentence that says how to correct the request.
    """

    def __init__(self, status: int, kind: str, message: str):
        super().__init__(message)
        self.status = status
        self.kind = kind


class ConfigurationBehind(SequoiaError):
    """This VM has not yet received the configuration version that the operator expects."""

    exit_code = 4
