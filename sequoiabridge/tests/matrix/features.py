"""Writes the feature files from the rows and columns; run it as a module to do so."""

from pathlib import Path

from .faults import FAULTS
from .steps import Group, Step

FOLDER = Path(__file__).parent.parent / "features"

HEAD = """Feature: Every fault at every step of a {group}
  Written by tests/matrix/features.py from the rows and columns of the fault matrix.

  Scenario Outline: {group}: <fault> at <step>
    Given daemons, upstreams and the platform's store
    When "<fault>" strikes at the step "<step>"
    Then every promise holds

    Examples:
      | fault | step |
"""


def text_of(group: Group) -> str:
    """Return the feature file of one group of steps."""
    steps = [step for step in Step if step.group is group]
    cells = [(fault, step) for fault in FAULTS for step in steps if not fault.absent(step)]
    rows = [f"      | {fault.name} | {step.title} |\n" for fault, step in cells]
    return HEAD.format(group=group.value) + "".join(rows)


def path_of(group: Group) -> Path:
    """Return where the feature file of a group is."""
    return FOLDER / f"{group.value}.feature"


if __name__ == "__main__":
    for each in Group:
        path_of(each).write_text(text_of(each), encoding="utf-8")
