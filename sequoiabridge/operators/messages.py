"""Requests and answers of the admin port, and the base class of their handlers."""

from __future__ import annotations

from abc import ABC, abstractmethod


class AdminRequest:
    """A request. Header names are in lower case; `path` and `query` are percent-decoded."""

    __slots__ = ("method", "path", "query", "headers", "body")

    def __init__(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        headers: dict[str, str],
        body: bytes = b"",
    ):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body


class AdminAnswer:
    """A complete answer."""

    __slots__ = ("status", "content_type", "body", "headers")

    def __init__(
        self,
        status: int,
        content_type: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.headers = headers


class AdminHandler(ABC):
    """Base class of what answers requests of the admin port."""

    @abstractmethod
    async def handle(self, request: AdminRequest) -> AdminAnswer:
        """Answer a request; must not raise."""
