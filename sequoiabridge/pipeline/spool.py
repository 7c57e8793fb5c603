"""Filter that stores uploads of rules with `upload = spool` and answers them."""

from __future__ import annotations

from .. import headers
from .base import Filter
from .exchange import Exchange
from .uploads import UploadHandler

SPOOL = "spool"


class Spool(Filter):
    """Answers spooled uploads; they are delivered to an upstream later, in the background."""

    __slots__ = ("handler",)

    name = "spool"

    def __init__(self, handler: UploadHandler):
        self.handler = handler

    async def enter(self, exchange: Exchange) -> None:
        if exchange.rule.upload != SPOOL:
            return
        answer = await self.handler.handle(exchange)
        answer.headers = [*answer.headers, (headers.REQUEST_ID, exchange.id.encode())]
        exchange.answer = answer
