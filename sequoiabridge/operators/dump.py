"""The state dump: the state of every component of this daemon, with secrets redacted."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import curio

from ..component import Component
from ..logs import get_log
from .errors import NotFound

log = get_log("dump")

REDACTED = "(hidden)"
"""Replaces secrets in the dump."""

SECRET_KEYS = frozenset({"token", "secret", "password", "authorization", "fleet_key"})
"""Keys, in lower case, whose values are redacted."""

MIN_EMBEDDED_SECRET_CHARS = 6
"""Minimum length of a secret that is also redacted inside longer texts, in characters."""

MAX_DEPTH = 12
"""Maximum depth of nested maps and lists in the dump of a component."""


class StateDump:
    """Collects the state of all components.

    Args:
        components: Returns the current components.
        secrets: Texts to redact, such as the operators' token and the fleet's key.
    """

    def __init__(
        self, vm: str, components: Callable[[], Sequence[Component]], secrets: Sequence[str] = ()
    ):
        self.vm = vm
        self.components = components
        self.secrets = [secret for secret in secrets if secret]

    async def collect(self, only: str | None = None) -> dict:
        """Return the dump of all components, or of the one named `only`.

        Yields to other tasks between components.

        Raises:
            NotFound: No component has that name; the message lists the names.
        """
        components = list(self.components())
        names = sorted({component.name for component in components})
        if only is not None and only not in names:
            raise NotFound(f"No part {only} exists; parts are {', '.join(names)}.")
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
            # An error in one component must not hide the state of the others.
            log.warning(
                "state dump of component %s failed: %s", component.name, type(error).__name__
            )
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
