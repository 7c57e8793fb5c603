"""Settings of the gateway daemon: one INI file, read at start and again when it changes."""

from __future__ import annotations

from pathlib import Path
from typing import Self

from .fields import Boolean, Integer, ListOf, Name, Number
from .ini import read_sections, read_text_file
from .machine import MachineSection
from .problem import Invalid, Problem
from .section import Section
from .units import Address, Duration


class VmSection(MachineSection):
    """Identity, network link and size of this VM."""

    heading = "vm"

    name = Name("Name of this VM; unique in the fleet.")
    data_centre = Name("Data centre in which this VM runs.")
    link = Number(
        "Bandwidth of this VM's network link in Mbit/s; the VMs with the most bandwidth follow the "
        "store and forward its data to the others.",
        1000.0,
        maximum=1_000_000.0,
    )
    first_start = Boolean(
        "Whether the whole fleet starts for the first time and has no callers yet.", False
    )


class ListenSection(Section):
    """Addresses and ports on which this daemon listens."""

    heading = "listen"

    callers = Address("Address for callers.", listen=True)
    ready = Address("Address for the readiness checks of the platform's balancer.", listen=True)
    fleet_ip = Name("IP address of this VM for the ports that other daemons and operators use.")
    fleet_ports = ListOf(
        "First and last port of the range for other daemons and operators.",
        Integer("A port.", minimum=1, maximum=65535),
    )


class StoreSection(Section):
    """The store of the platform."""

    heading = "store"

    address = Address("Address of the store.")


class BoundsSection(Section):
    """Limits that the operators of the platform set."""

    heading = "bounds"

    config_apply = Duration(
        "Time after which an accepted configuration must be in force.", 2.0, minimum=0.1
    )
    drain = Duration("Time after which a leaving upstream must receive no more calls.", 2.0)
    grace = Duration("Time between the request to stop and the kill of the process.", 6.0)
    retry_ratio = Number("Retries and hedges that the fleet may send per call.", 0.2, maximum=10.0)
    retry_window = Duration(
        "Time over which calls, retries and hedges are counted for `retry_ratio`.",
        10.0,
        minimum=0.1,
    )
    retry_slack = Number(
        "Retries and hedges that the fleet may send per `retry_window` in addition.",
        50.0,
        maximum=100_000.0,
    )
    probes_per_second = Number(
        "Maximum number of health checks per second that all VMs together send to one upstream.",
        60.0,
        maximum=100_000.0,
    )


class ChoiceSection(Section):
    """How an upstream is chosen."""

    heading = "choice"

    far_megabyte = Number(
        "Cost of sending a megabyte between data centres, in calls answered in time.",
        7.0,
        maximum=10_000.0,
    )


SECTIONS = {
    section.heading: section
    for section in (VmSection, ListenSection, StoreSection, BoundsSection, ChoiceSection)
}
"""Sections of the file by header."""


class GatewaySettings:
    """All settings of one gateway daemon; `source` is the file name."""

    __slots__ = ("source", "vm", "listen", "store", "bounds", "choice")

    def __init__(
        self,
        source: str,
        vm: VmSection,
        listen: ListenSection,
        store: StoreSection,
        bounds: BoundsSection,
        choice: ChoiceSection,
    ):
        self.source = source
        self.vm = vm
        self.listen = listen
        self.store = store
        self.bounds = bounds
        self.choice = choice

    @classmethod
    def load(cls, path: str | Path) -> Self:
        """Read a settings file.

        Raises:
            Invalid: With all problems of the file.
        """
        return cls.parse(read_text_file(path), str(path))

    @classmethod
    def parse(cls, text: str, source: str = "settings") -> Self:
        """Parse the text of a settings file; raises as `load` does."""
        sections, problems = read_sections(text, source)
        for header in sections.keys() - SECTIONS.keys():
            wrong, instead = "there is no such section", "use one of " + ", ".join(SECTIONS)
            problems.append(Problem(source, header, "", wrong, instead))
        read = {}
        for header, kind in SECTIONS.items():
            try:
                read[header] = kind.read_or_raise("", sections.get(header, {}), source)
            except Invalid as error:
                problems += error.problems
        if problems:
            raise Invalid(problems)
        return cls(source, **read)

    def dump(self) -> dict:
        """Return all settings for the state dump."""
        return {header: getattr(self, header).dump() for header in SECTIONS}
