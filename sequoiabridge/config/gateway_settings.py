"""Settings of a daemon on the users' platform: one INI file, read at start and when it changes."""

from __future__ import annotations

from pathlib import Path
from typing import Self

from .fields import Boolean, Integer, ListOf, Name, Number
from .ini import read_sections, read_text_file
from .problem import Invalid, Problem
from .section import Section
from .units import Address, Duration


class VmSection(Section):
    """Who this VM is."""

    heading = "vm"

    name = Name("Name of this VM; no other VM of the fleet may have it.")
    data_centre = Name("Data centre in which this VM runs.")
    link = Number(
        "Bandwidth of this VM's link in Mbit/s; the VMs with the widest follow the store and give "
        "what they read to the others.",
        1000.0,
        maximum=1_000_000.0,
    )
    first_start = Boolean("The whole fleet starts for the first time; nobody calls yet.", False)


class ListenSection(Section):
    """Where this daemon listens."""

    heading = "listen"

    callers = Address("Where callers connect.", listen=True)
    ready = Address("Where the platform's balancer asks whether to send callers here.", listen=True)
    fleet_ip = Name("The VM's own IP number, for ports that other daemons and operators use.")
    fleet_ports = ListOf(
        "First and last port that is free for that.", Integer("A port.", minimum=1, maximum=65535)
    )


class StoreSection(Section):
    """The platform's store."""

    heading = "store"

    address = Address("Where it listens.")


class BoundsSection(Section):
    """What the operators of the platform allow and demand."""

    heading = "bounds"

    drain = Duration("Time after which a leaving upstream must get no more calls.", 2.0)
    grace = Duration("Time from the request to stop until the process is killed.", 6.0)
    retry_ratio = Number("Repeated sends that the fleet may make for each call.", 0.2, maximum=10.0)
    retry_window = Duration("Time over which they are counted.", 10.0, minimum=0.1)
    retry_slack = Number("Repeated sends in that time beside those.", 50.0, maximum=100_000.0)
    probes_per_second = Number(
        "Health checks that all VMs together may send to one upstream in a second.",
        60.0,
        maximum=100_000.0,
    )


class ChoiceSection(Section):
    """How an upstream is chosen."""

    heading = "choice"

    far_megabyte = Number(
        "Cost of a megabyte between data centres, in calls that are answered in time.",
        7.0,
        maximum=10_000.0,
    )


SECTIONS = {
    section.heading: section
    for section in (VmSection, ListenSection, StoreSection, BoundsSection, ChoiceSection)
}
"""All sections of the file by header."""


class GatewaySettings:
    """All settings of one daemon on the platform; `source` is the file."""

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
            Invalid: With every problem in it.
        """
        return cls.parse(read_text_file(path), str(path))

    @classmethod
    def parse(cls, text: str, source: str = "settings") -> Self:
        """Read the text of a settings file; as `load`."""
        sections, problems = read_sections(text, source)
        for header in sections.keys() - SECTIONS.keys():
            wrong, instead = "there is no such section", "use " + ", ".join(SECTIONS)
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
