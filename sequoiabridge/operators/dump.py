"""The state dump: what every part of this daemon says of itself, without any secret."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio

from ..component import Component
from ..logs import get_log
from .errors import NotFound

log = get_log("dump")

REDACTED = "(hidden)"

SECRET_KEYS = frozenset({"token", "secret", "password", "authorization", "fleet_key"})
"""Keys whose values are never shown."""

MIN_EMBEDDED_SECRET_CHARS = 6
"""Characters from which a secret is also looked for within longer texts."""

MAX_DEPTH = 12
"""Levels of maps and lists; what lies deeper is not shown."""


class StateDump:
    """Collects the dump of all parts.

    Args:
        parts: Returns the parts that live now.
        secrets: Texts that must not be shown, such as the operators' token and the fleet's key.
    """

    def __init__(
        self, vm: str, components: Callable[[], Sequence[Component]], secrets: Sequence[str] = ()
    ):
        self.vm = vm
        self.components = components
        self.secrets = [secret for secret in secrets if secret]

    async def collect(self, only: str | None = None) -> dict:
        """Return the dump of all parts, or of the one named `only`; tasks run between parts.

        Raises:
            NotFound: There is no part of that name; the message lists those there are.
        """
        components = list(self.components())
        names = sorted({component.name for component in components})
        if only is not None and only not in names:
            raise NotFound(f"There is no part {only}; parts are {', '.join(names)}.")
        dumps = {}
        for component in components:
            if only in (None, component.name):
                dumps[component.name] = self._dump(component)
                await curio.sleep(0)
        return {"vm": self.vm, "parts": dumps}

    def _dump(self, component: Component) -> object:
        try:
            return self._redact(component.dump(), 0)
        except Exception as error:
            # The others' state is worth most when one part is broken.
            log.warning("part %s gave no dump: %s", component.name, type(error).__name__)
            return {"error": self._redact_text(f"{type(error).__name__}: {error}")}

    def _redact(self, value: object, depth: int) -> object:
        if depth > MAX_DEPTH:
            return "(too deep)"
        if isinstance(value, dict):
            return {
                self._redact_text(str(k)): self._redact_entry(k, v, depth) for k, v in value.items()
            }
        if isinstance(value, list | tuple | set | frozenset):
            return [self._redact(item, depth + 1) for item in value]
        if value is None or isinstance(value, bool | int | float):
            return value
        return self._redact_text(value if isinstance(value, str) else repr(value))

    def _redact_entry(self, key: object, value: object, depth: int) -> object:
        if str(key).lower() in SECRET_KEYS:
            return REDACTED
        return self._redact(value, depth + 1)

    def _redact_text(self, text: str) -> str:
        for secret in self.secrets:
            if text == secret:
                return REDACTED
            if len(secret) >= MIN_EMBEDDED_SECRET_CHARS:
                text = text.replace(secret, REDACTED)
        return text
