"""Filter: uploads of rules with `upload = spool` are stored first and answered from there."""

from __future__ import annotations

from .. import headers
from .base import Filter
from .exchange import Exchange
from .uploads import UploadHandler

SPOOL = "spool"


class Spool(Filter):
    """Ends a spooled upload's way here: no upstream is asked while its caller waits."""

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
