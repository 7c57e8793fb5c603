"""Tests of the state dump: failing components, secrets and cyclic values."""

import curio
import msgspec
import pytest

from ...component import Component
from ...operators.dump import REDACTED, StateDump
from ...operators.errors import NotFound

SECRET = "the-fleet's-long-key"


class FakeComponent(Component):
    """Returns `state` as its dump, or raises it if it is an exception."""

    def __init__(self, name, state):
        self.name = name
        self.state = state

    def dump(self):
        if isinstance(self.state, Exception):
            raise self.state
        return self.state


def test_a_failing_component_is_dumped_as_an_error_beside_the_others():
    components = [
        FakeComponent("queue", {"length": 3}),
        FakeComponent("fleet", ValueError(f"no {SECRET}")),
    ]
    dump = StateDump("vm1", lambda: components, [SECRET])
    shown = curio.run(dump.collect)["parts"]
    assert shown == {"queue": {"length": 3}, "fleet": {"error": f"ValueError: no {REDACTED}"}}


def test_secrets_are_redacted_by_key_and_by_value():
    deep = {"url": f"x?{SECRET}=1", SECRET: [SECRET], "Token": "short", "at": ({1}, object())}
    dump = StateDump("vm1", lambda: [FakeComponent("settings", deep)], [SECRET, ""])
    text = msgspec.json.encode(curio.run(dump.collect, "settings")).decode()
    assert SECRET not in text and "short" not in text and "x?(hidden)=1" in text
    with pytest.raises(NotFound, match="parts are settings"):
        curio.run(dump.collect, "none")


def test_a_cyclic_dump_is_cut_off_at_the_maximum_depth():
    endless = {}
    endless["self"] = endless
    dump = StateDump("vm1", lambda: [FakeComponent("loop", endless)])
    shown = curio.run(dump.collect)
    assert "too deep" in msgspec.json.encode(shown).decode()
