"""The settings page and the examples agree with the declared options."""

from pathlib import Path

import pytest

from ...commands.main import main
from ...config.loading import load_document
from ...config.reference import page
from ...config.settings import Settings

ROOT = Path(__file__).parents[3]


def test_the_settings_page_is_the_generated_one():
    committed = (ROOT / "docs/operators/settings.md").read_text(encoding="utf-8")
    assert committed == page(), "out of date: run make settings-reference"


@pytest.mark.parametrize("name", ["vm.ini", "kaleva.ini", "norrvik.ini"])
def test_examples_have_no_error_and_no_warning(name):
    assert main(["check", "--strict", str(ROOT / "examples" / name)]) == 0


@pytest.mark.parametrize(
    ("file", "sizes", "connections"),
    [
        ("kaleva.ini", {"spendview": 15, "hyvaksynta": 7, "kirjanpito-lataus": 6}, 220),
        ("norrvik.ini", {"katalog": 17, "aktivera": 12, "mottag": 8}, 260),
    ],
)
def test_example_fleets_have_the_expected_sizes(file, sizes, connections):
    document = load_document(ROOT / "examples" / file).ok
    assert {name: len(document.upstreams_of(name)) for name in document.services} == sizes
    for upstream in document.upstreams.values():
        assert document.slots_of(upstream) == 2
        assert document.connections_of(upstream) == connections


def test_rules_for_non_idempotent_work_require_a_key():
    kaleva, norrvik = (
        load_document(ROOT / "examples" / f).ok for f in ("kaleva.ini", "norrvik.ini")
    )
    approval = kaleva.rule_for("hyvaksynta", b"POST", b"/reconciliations/7/approval")
    activation = norrvik.rule_for("aktivera", b"POST", b"/activations/reader-7")
    for rule in (approval, activation):
        assert rule.key == "required" and not rule.idempotent and not rule.hedge
    assert kaleva.services["spendview"].tail_weight < norrvik.services["katalog"].tail_weight


def test_the_example_settings_load():
    assert Settings.load(ROOT / "examples/vm.ini").ok.fleet.bytes_per_second == 3000
