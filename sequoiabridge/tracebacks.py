"""Frees what the frames of an exception refer to."""

from __future__ import annotations


def drop_traceback(error: BaseException) -> None:
    """Forget where an exception came from.

    A task of curio keeps the exception that ended it, whose frames refer to the task; a refused
    call keeps its refusal. Without this, what the frames refer to, such as the body of a request,
    stays in memory until the garbage collector finds the cycle.
    """
    error.__traceback__ = None
    error.__context__ = None
    error.__cause__ = None
