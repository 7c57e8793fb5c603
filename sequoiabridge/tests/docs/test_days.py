"""The days under deploy/days can be read, and the users' own one is kept as they wrote it."""

import tomllib
from pathlib import Path

import pytest

DAYS = sorted((Path(__file__).parents[3] / "deploy" / "days").glob("*.toml"))


@pytest.mark.parametrize("file", DAYS, ids=lambda file: file.name)
def test_each_day_has_a_name_and_entries_with_a_time_and_a_kind(file):
    content = tomllib.loads(file.read_text())
    (day,) = content.get("day", [content])
    entries = day.get("plan", []) + day.get("faults", [])
    assert day["name"] == file.stem and entries
    assert all(entry["at"] >= 0.0 and entry["kind"] for entry in entries)


def test_the_day_of_deadly_requests_is_the_users():
    (file,) = [file for file in DAYS if file.stem == "deadly"]
    assert tomllib.loads(file.read_text())["faults"] == [
        {
            "at": 5.0,
            "kind": "poison",
            "how": "deadly",
            "class": "dashboard-read",
            "share": 0.03,
            "for_s": 20.0,
        }
    ]
