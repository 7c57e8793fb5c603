"""How calls, answers and health checks are spelled by callers and upstreams."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..exceptions import Refusal
from ..pipeline.exchange import Answer, RawHeaders, Request
from .metadata import AnswerMetadata, CallMetadata, HealthMetadata


class Dialect(ABC):
    """Reads and writes the headers that mean something to the balancer; decides nothing."""

    @abstractmethod
    def call_metadata(self, request: Request) -> CallMetadata:
        """Return what a caller says of its call."""

    @abstractmethod
    def upstream_headers(
        self, request: Request, upstream: str, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers with which a call goes to an upstream.

        Args:
            upstream: Id of the upstream that is meant; any other must not run the request.
            time_left: Seconds until the answer is of no more use.
        """

    @abstractmethod
    def is_answer_to(self, call_id: bytes, headers: RawHeaders) -> bool:
        """Return False if an answer says that it belongs to another call than `call_id`.

        `call_id` is b"" for a health check, whose answer names no call.
        """

    @abstractmethod
    def answer_metadata(self, answer: Answer) -> AnswerMetadata:
        """Return what an upstream's answer says about itself."""

    @abstractmethod
    def health_metadata(self, answer: Answer) -> HealthMetadata:
        """Return what the answer to a health check says."""

    @abstractmethod
    def refusal(self, refusal: Refusal, call_id: str) -> Answer:
        """Return the answer that tells a caller of a refusal."""
