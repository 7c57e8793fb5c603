"""What the pages show is understood by the real command line, and their links lead somewhere."""

import re
import shlex
from pathlib import Path

import defopt
import pytest

from ... import headers
from ...commands.daemon import run
from ...commands.main import VERBS
from ...operators.parser import parse
from ...outcome import Reason

ROOT = Path(__file__).parents[3]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
COMMAND = re.compile(r"^(?: {4})?(?:\$ )?((?:sequoiactl|sequoiabridged) .+)$", re.M)
LINK = re.compile(r"\]\(([^()\s#]*)(?:#([^()\s]*))?\)")
ROW = re.compile(r"^\| `([a-z-]+)` \| \d", re.M)
ALONE = ("check", "experiment", "version")
"""Verbs that need no daemon; the run-books leave the address of one out."""


def text(page):
    return page.read_text(encoding="utf-8")


def shown():
    """Yield each command that a page shows, with where it stands."""
    for page in PAGES:
        for command in COMMAND.findall(text(page)):
            yield pytest.param(command, id=f"{page.relative_to(ROOT)}: {command}")


def arguments_of(verbs, argv):
    """Return the arguments by which the command line would call the verb."""
    options = {"short": {}, "no_negated_flags": True}
    return defopt.bind(verbs, argv=argv, **options)


@pytest.mark.parametrize("command", list(shown()))
def test_a_command_that_a_page_shows_is_understood(command):
    program, *argv = shlex.split(command)
    if program == "sequoiabridged":
        assert arguments_of(run, argv)
        return
    if argv[0] not in ALONE and "--admin" not in argv:
        argv += ["--admin", "10.0.0.1:9000"]
    assert arguments_of(VERBS, argv)
    if argv[0] == "ask":
        assert parse(argv[1]).is_ok()


@pytest.mark.parametrize(
    "wrong", [["dmup"], ["dump", "--admin"], ["ask"], ["apply", "x.ini", "--exspect", "4"]]
)
def test_a_wrong_command_would_be_noticed(wrong):
    with pytest.raises(SystemExit):
        arguments_of(VERBS, wrong)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_relative_links_lead_to_a_page_and_a_heading(page):
    for target, anchor in LINK.findall(text(page)):
        if "://" in target:
            continue
        found = (page.parent / target).resolve() if target else page
        assert found.exists(), target
        if anchor:
            titles = re.findall(r"^#+ (.+)$", text(found), re.M)
            assert anchor in {
                re.sub(r"[^a-z0-9 -]", "", t.lower()).replace(" ", "-") for t in titles
            }


def test_the_caller_guide_lists_every_reason_and_no_other():
    rows = ROW.findall(text(ROOT / "docs" / "callers" / "README.md"))
    assert sorted(rows) == sorted(reason.value for reason in Reason)


def test_the_guides_name_every_header():
    guides = "".join(text(page) for page in (ROOT / "docs" / "callers").glob("*.md")).lower()
    names = [value.decode() for value in vars(headers).values() if isinstance(value, bytes)]
    assert [name for name in names if f"`{name}`" not in guides] == []


@pytest.mark.parametrize("guide", ["callers", "operators"])
def test_the_start_page_of_a_guide_links_each_of_its_pages(guide):
    folder = ROOT / "docs" / guide
    start = text(folder / "README.md")
    pages = {page.name for page in folder.glob("*.md")} - {"README.md"}
    assert {name for name in pages if f"({name})" not in start} == set()
