"""Cells of the matrix in which an answer has no end of its own: its caller still gets one."""

import pytest

from .cells import State, fault_named, play_cell
from .faults import ENDLESS_ANSWERS
from .steps import Step


@pytest.mark.parametrize("step", [Step.SEND_HEAD, Step.WAIT, Step.RELAY])
@pytest.mark.parametrize("fault", ENDLESS_ANSWERS)
def test_a_call_ends_soon_after_its_window_though_its_answer_does_not(fault, step):
    # The caller of a streamed answer got no end before it left.
    outcome = play_cell(fault_named(fault), step)
    assert (outcome.state, outcome.found) == (State.HELD, [])
