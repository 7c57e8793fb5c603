"""Parsing of a daemon's settings: units, error reports and hidden secrets."""

import pytest

from ...config.settings import Settings

GOOD = """
[vm]
name = vm-1
data_centre = dc-a
[callers]
address = 127.0.0.1:8080
max_head = 64KB
idle_timeout = 5m
balancer_lag = 250ms
[admin]
address = 127.0.0.1:8081
token = a-token-of-some-length
[fleet]
address = 127.0.0.1:8082
seeds = 10.0.0.2:8082, [fd00::1]:8082
key = 0123456789abcdef0123456789abcdef
[platform]
tables = 10.0.1.1:1
objects = 10.0.1.1:2
list = 10.0.1.1:3
"""


def problems(text):
    return [(p.section, p.key) for p in Settings.parse(text, "vm.ini").error]


def test_values_have_their_units():
    settings = Settings.parse(GOOD).ok
    assert settings.callers.max_head == 64_000
    assert settings.callers.idle_timeout == 300.0
    assert settings.callers.balancer_lag == 0.25
    assert settings.fleet.seeds == ("10.0.0.2:8082", "[fd00::1]:8082")
    assert settings.log.level == "info"


def test_every_error_is_reported_at_once():
    text = GOOD.replace("name = vm-1", "nmae = vm-1").replace("64KB", "64 chairs")
    text = text.replace("127.0.0.1:8081", "localhost:8081").replace("[platform]", "[platfrom]")
    found = problems(text + "\nlist = 10.0.1.1:4\nnot an option\n[vm]\nname = vm-2\n")
    expected = {("vm", "nmae"), ("vm", "name"), ("callers", "max_head"), ("admin", "address")}
    expected |= {("platform", ""), ("platfrom", ""), ("platfrom", "list"), ("vm", ""), ("", "")}
    assert set(found) == expected


def test_a_problem_names_the_closest_option():
    (found,) = Settings.parse(GOOD.replace("max_head", "max_haed"), "vm.ini").error
    assert found.text == "vm.ini: [callers] max_haed: there is no such option; write max_head"


@pytest.mark.parametrize(
    ("old", "new", "where"),
    [
        ("127.0.0.1:8082\n", "127.0.0.1:8081\n", ("fleet", "address")),
        ("127.0.0.1:8081", "0.0.0.0:8080", ("admin", "address")),
        ("127.0.0.1:8082\n", "0.0.0.0:8082\n", ("fleet", "address")),
        ("10.0.0.2:8082", "127.0.0.1:8082", ("fleet", "seeds")),
        ("idle_timeout = 5m", "idle_timeout = 2s", ("callers", "idle_timeout")),
        ("a-token-of-some-length", "too-short", ("admin", "token")),
        ("10.0.1.1:1\n", "10.0.1.1:0\n", ("platform", "tables")),
    ],
)
def test_inconsistent_options_are_rejected(old, new, where):
    assert problems(GOOD.replace(old, new)) == [where]


def test_secrets_are_not_shown():
    settings = Settings.parse(GOOD).ok
    assert "a-token" not in repr(settings.admin) + str(settings.dump())
    rejected = Settings.parse(GOOD.replace("a-token-of-some-length", "hush")).error
    assert "hush" not in rejected[0].text


def test_a_byte_order_mark_is_accepted_and_other_encodings_are_rejected(tmp_path):
    file = tmp_path / "vm.ini"
    file.write_text(GOOD, encoding="utf-8-sig")
    assert Settings.load(file).is_ok()
    file.write_text(GOOD, encoding="utf-16")
    assert "UTF-8" in Settings.load(file).error[0].wrong


def test_a_missing_file_is_a_problem(tmp_path):
    (found,) = Settings.load(tmp_path / "none.ini").error
    assert "cannot be read" in found.wrong
