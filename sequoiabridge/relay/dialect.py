"""Interface to the headers that callers and upstreams use for calls, answers and probes."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..exceptions import Refusal
from ..pipeline.exchange import Answer, RawHeaders, Request
from .metadata import AnswerMetadata, CallMetadata, HealthMetadata

NO_CALL = b""
"""Id of a request that names no call, such as a health check."""


class Dialect(ABC):
    """Reads and writes the headers that matter to the balancer."""

    @abstractmethod
    def call_metadata(self, request: Request) -> CallMetadata:
        """Return the metadata of a call from the headers of its request."""

    @abstractmethod
    def upstream_headers(
        self, request: Request, upstream: str, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of the request that is sent to an upstream.

        Args:
            upstream: Id of the intended upstream; any other must not run the request.
            time_left: Seconds until the deadline of the call.
        """

    @abstractmethod
    def is_answer_to(self, call_id: bytes, headers: RawHeaders) -> bool:
        """Return whether the headers of an answer name the call `call_id`.

        It is `NO_CALL` for a health check, whose answer names no call.
        """

    @abstractmethod
    def answer_metadata(self, answer: Answer) -> AnswerMetadata:
        """Return the metadata of an upstream's answer from its headers and status."""

    @abstractmethod
    def health_metadata(self, answer: Answer) -> HealthMetadata:
        """Return the metadata of the answer to a health check."""

    @abstractmethod
    def refusal(self, refusal: Refusal, call_id: str) -> Answer:
        """Return the answer that the caller of a refused call gets."""
