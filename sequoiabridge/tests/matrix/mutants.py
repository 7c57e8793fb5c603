"""The promises broken on purpose, one at a time: each break must turn a cell of the matrix BROKEN.

A mutant replaces attributes of the daemon's modules and classes while its cells are played. Its
cells are those that can see it; one that sees it is enough, and it must hold without the mutant.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from unittest import mock

from ...benchmarks.oracle import Promise
from . import breaks
from .breaks import Patch
from .cells import State, fault_named, play_cell, step_named


class Mutant:
    """One break.

    Args:
        name: What the code does wrong.
        promise: The promise that this breaks, which the cell must name.
        patches: Returns what is replaced.
        cells: Fault and step of the cells that can see it.
    """

    __slots__ = ("name", "promise", "patches", "cells")

    def __init__(
        self,
        name: str,
        promise: Promise,
        patches: Callable[[], list[Patch]],
        *cells: tuple[str, str],
    ):
        self.name = name
        self.promise = promise
        self.patches = patches
        self.cells = cells

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Break the code for as long as the context lasts."""
        places = [mock.patch.object(*patch) for patch in self.patches()]
        for place in places:
            place.start()
        try:
            yield
        finally:
            for place in reversed(places):
                place.stop()

    def seen_by(self) -> tuple[str, str]:
        """Return the first cell that sees it and what it found, or two empty strings."""
        for fault, step in self.cells:
            with self.applied():
                broken = play_cell(fault_named(fault), step_named(step))
            found = [line for line in broken.found if self.promise.value in line]
            if not found:
                continue
            # A cell that is broken without the mutant too proves nothing.
            if play_cell(fault_named(fault), step_named(step)).state is State.HELD:
                return f"{fault} at {step}", found[0]
        return "", ""


MUTANTS = (
    Mutant(
        "skip the claim",
        Promise.AT_MOST_ONCE,
        breaks.skip_claim,
        ("caller resends", "wait"),
        ("answer lost", "wait"),
    ),
    Mutant(
        "take over a lapsed claim",
        Promise.AT_MOST_ONCE,
        breaks.take_over_lapsed_claim,
        ("VM killed", "record outcome"),
        ("lease lapses, holder paused", "wait"),
        ("VM paused and resumed", "wait"),
    ),
    Mutant(
        "claim after sending",
        Promise.AT_MOST_ONCE,
        breaks.claim_after_sending,
        ("caller resends", "wait"),
        ("caller resends", "send head"),
    ),
    Mutant(
        "release a claim after sending",
        Promise.AT_MOST_ONCE,
        breaks.release_what_was_sent,
        ("answer lost", "wait"),
    ),
    Mutant(
        "retry unrepeatable work after a byte",
        Promise.AT_MOST_ONCE,
        breaks.retry_after_a_byte,
        ("answer cut short", "relay answer"),
        ("answer lost", "wait"),
    ),
    Mutant(
        "say not-run after sending",
        Promise.NOT_RUN,
        breaks.not_run_after_sending,
        ("answer lost", "wait"),
    ),
    Mutant(
        "reuse a connection after a timeout",
        Promise.OWN_ANSWER,
        breaks.reuse_after_timeout,
        ("answers come late", "wait"),
        ("answers come late", "connect"),
        ("upstream straggles", "wait"),
    ),
    Mutant(
        "give the answer of another request",
        Promise.OWN_ANSWER,
        breaks.answer_of_another,
        ("slow caller", "wait"),
    ),
    Mutant("an error of its own", Promise.NO_ERROR, breaks.raise_inside, ("store down", "claim")),
    Mutant(
        "fall back to an older version",
        Promise.CONFIGURATION,
        breaks.fall_back_to_older_version,
        ("store down", "applied"),
    ),
    Mutant(
        "say accepted before the commit is proven",
        Promise.CONFIGURATION,
        breaks.accept_unproven,
        ("write lost", "proposed"),
        ("store down", "proposed"),
    ),
    Mutant(
        "commit without comparing",
        Promise.CONFIGURATION,
        breaks.commit_without_compare,
        ("two operators at once", "proposed"),
        ("two operators at once", "connect"),
    ),
    Mutant(
        "serve while not current",
        Promise.CONFIGURATION,
        breaks.serve_while_not_current,
        ("another VM cut off from all", "proposed"),
    ),
    Mutant(
        "accept an upload before its commit",
        Promise.UPLOADS,
        breaks.accept_before_commit,
        ("store down", "commit"),
        ("VM killed", "commit"),
    ),
    Mutant("accept half an upload", Promise.UPLOADS, breaks.accept_half, ("caller gone", "chunk")),
    Mutant(
        "deliver half an upload", Promise.UPLOADS, breaks.deliver_half, ("slow caller", "chunk")
    ),
    Mutant(
        "take an undelivered upload as delivered",
        Promise.UPLOADS,
        breaks.confirm_undelivered,
        ("all upstreams shed", "deliver"),
    ),
    Mutant(
        "send work to a leaving upstream",
        Promise.LEAVING,
        breaks.work_for_leaving,
        ("upstream starts draining", "connect"),
    ),
    Mutant(
        "send on what crashed upstreams",
        Promise.CRASHES,
        breaks.no_crash_stop,
        ("request crashes each upstream", "wait"),
    ),
    Mutant(
        "cut off in-flight work on a planned stop",
        Promise.WHOLE,
        breaks.cut_off_on_stop,
        ("slow caller", "last request ends"),
        ("two operators at once", "drain begins"),
    ),
    Mutant(
        "a stop without an end", Promise.STOP, breaks.stop_without_end, ("planned stop", "connect")
    ),
    Mutant(
        "unpaid probes", Promise.MEASURING, breaks.unpaid_probes, ("upstream straggles", "wait")
    ),
    Mutant(
        "never ask the store again",
        Promise.RECOVERY,
        breaks.store_given_up,
        ("store down", "claim"),
    ),
)
"""All breaks; a name, what is replaced, and the cells that can see it."""
