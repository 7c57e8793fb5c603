"""Formats counts and errors for messages that people read."""

import os


def format_count(number: int, noun: str) -> str:
    """Return a number with its noun in the singular or plural, such as `1 VM` or `2 VMs`."""
    return f"{number} {noun}" if number == 1 else f"{number} {noun}s"


def describe_error(error: Exception) -> str:
    """Return a short description of a network error, such as `Connection refused`."""
    number = getattr(error, "errno", None)
    if number is not None and number > 0:
        return os.strerror(number)
    return str(error) or type(error).__name__
