"""The state dump: what every part of this daemon says of itself, without any secret."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio

from ..component import Component
from ..logs import get_log
from .errors import NotFound

log = get_log("dump")

HIDDEN = "(hidden)"

SECRET_NAMES = frozenset({"token", "secret", "password", "authorization", "fleet_key"})
"""Keys whose values are never shown."""

SHORTEST_WITHIN = 6
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
        shown = {}
        for component in components:
            if only in (None, component.name):
                shown[component.name] = self._dump(component)
                await curio.sleep(0)
        return {"vm": self.vm, "parts": shown}

    def _dump(self, component: Component) -> object:
        try:
            return self._shown(component.dump(), 0)
        except Exception as error:
            # The others' state is worth most when one part is broken.
            log.warning("part %s gave no dump: %s", component.name, type(error).__name__)
            return {"error": self._text(f"{type(error).__name__}: {error}")}

    def _shown(self, value: object, depth: int) -> object:
        if depth > MAX_DEPTH:
            return "(too deep)"
        if isinstance(value, dict):
            return {self._text(str(k)): self._entry(k, v, depth) for k, v in value.items()}
        if isinstance(value, list | tuple | set | frozenset):
            return [self._shown(item, depth + 1) for item in value]
        if value is None or isinstance(value, bool | int | float):
            return value
        return self._text(value if isinstance(value, str) else repr(value))

    def _entry(self, key: object, value: object, depth: int) -> object:
        if str(key).lower() in SECRET_NAMES:
            return HIDDEN
        return self._shown(value, depth + 1)

    def _text(self, text: str) -> str:
        for secret in self.secrets:
            if text == secret:
                return HIDDEN
            if len(secret) >= SHORTEST_WITHIN:
                text = text.replace(secret, HIDDEN)
        return text
