"""Settings of the daemon on the platform: every problem at once."""

from pathlib import Path

import pytest

from ...config.gateway_settings import GatewaySettings
from ...config.problem import Invalid
from ..relay.test_reloading import SETTINGS_TEXT


def test_a_whole_file_is_read_with_its_defaults():
    settings = GatewaySettings.parse(SETTINGS_TEXT.format(port=5))
    assert settings.listen.fleet_ports == (3, 4) and settings.bounds.grace == 6.0
    assert settings.bounds.retry_ratio == 0.2 and not settings.vm.first_start


def test_every_problem_is_told_at_once_with_its_remedy():
    text = SETTINGS_TEXT.format(port="x").replace("name = vm-1", "nam = vm-1") + "[extra]\na = 1\n"
    with pytest.raises(Invalid) as found:
        GatewaySettings.parse(text)
    told = " ".join(problem.text for problem in found.value.problems)
    assert "[store] address" in told and "[vm] name: the option is missing" in told
    assert "nam: there is no such option; write name" in told and "[extra]" in told


def test_the_example_is_valid():
    example = Path(__file__).parents[3] / "examples" / "gateway.ini"
    assert GatewaySettings.load(example).choice.far_megabyte == 7.0
