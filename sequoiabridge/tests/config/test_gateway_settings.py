"""Parsing of the gateway daemon's settings."""

from pathlib import Path

import pytest

from ...config.gateway_settings import GatewaySettings
from ...config.problem import Invalid
from ..relay.test_reloading import SETTINGS_TEXT


def test_a_complete_file_is_read_with_defaults():
    settings = GatewaySettings.parse(SETTINGS_TEXT.format(port=5))
    assert settings.listen.fleet_ports == (3, 4) and settings.bounds.grace == 6.0
    assert settings.bounds.retry_ratio == 0.2 and not settings.vm.first_start


def test_all_problems_are_reported_with_remedies():
    text = SETTINGS_TEXT.format(port="x").replace("name = vm-1", "nam = vm-1") + "[extra]\na = 1\n"
    with pytest.raises(Invalid) as found:
        GatewaySettings.parse(text)
    message = " ".join(problem.text for problem in found.value.problems)
    assert "[store] address" in message and "[vm] name: the option is missing" in message
    assert "nam: there is no such option; write name" in message and "[extra]" in message


def test_the_example_is_valid():
    example = Path(__file__).parents[3] / "examples" / "gateway.ini"
    assert GatewaySettings.load(example).choice.far_megabyte == 7.0
