"""Settings of one daemon: one INI file, read at its start."""

import ipaddress
from collections.abc import Iterator
from difflib import get_close_matches
from pathlib import Path
from typing import Self

from expression import Error, Ok, Result

from .fields import Choice, Integer, ListOf, Name, Secret
from .ini import read_file, read_sections
from .problem import Problem
from .section import Section
from .units import Address, Duration, Size, split_address


class VmSettings(Section):
    """Who this VM is."""

    heading = "vm"

    name = Name("Name of this VM; no other VM of the fleet may have it.")
    data_centre = Name("Data centre in which this VM runs.")


class CallersSettings(Section):
    """The port to which callers connect, and how much of them is borne."""

    heading = "callers"

    address = Address("Where callers connect.", listen=True)
    max_head = Size(
        "Largest request line and headers together.", 32_000, minimum=1000, maximum=10**6
    )
    max_connections = Integer(
        "Connections of callers at one time; more are refused.", 2000, minimum=1, maximum=100_000
    )
    idle_timeout = Duration(
        "How long a connection may stay open between two requests.",
        75.0,
        minimum=1.0,
        maximum=3600.0,
    )
    head_timeout = Duration(
        "How long a caller may take to send a request's head.", 10.0, minimum=0.1, maximum=600.0
    )
    body_timeout = Duration(
        "How long a caller may be silent while its body is expected, or not read its answer.",
        30.0,
        minimum=0.1,
        maximum=3600.0,
    )
    balancer_lag = Duration(
        "On a planned stop, time between failing the health check and refusing connections.",
        10.0,
        maximum=600.0,
    )

    def check(self) -> Iterator[tuple[str, str, str]]:
        if self.idle_timeout < self.head_timeout:
            wrong = "it is shorter than head_timeout, so slow heads would be cut off as idle"
            yield "idle_timeout", wrong, "make it at least as long as head_timeout"


class AdminSettings(Section):
    """The port for operators, metrics and the balancer's health check."""

    heading = "admin"

    address = Address("Where operators, metrics and the health check connect.", listen=True)
    token = Secret("Operators send it with each command.", min_length=16)


class FleetSettings(Section):
    """How this daemon talks with the others."""

    heading = "fleet"

    address = Address("Where the other daemons reach this one.", listen=True)
    seeds = ListOf("Fleet addresses of some other daemons, to begin with.", Address(""), ())
    key = Secret("The fleet's key; the same on every VM.", min_length=32)
    bytes_per_second = Integer(
        "Bytes a second that this daemon may send to others on average.",
        3000,
        minimum=300,
        maximum=10**7,
    )

    def check(self) -> Iterator[tuple[str, str, str]]:
        if is_unspecified(self.address):
            wrong = "other daemons cannot reach an address that stands for all of this VM's"
            yield "address", wrong, "write the VM's own IP number"
        if self.address in self.seeds:
            yield "seeds", "this daemon's own address is among them", "list other daemons only"


class PlatformSettings(Section):
    """Where the platform's services are, and how much the whole fleet may ask of them."""

    heading = "platform"

    tables = Address("The transactional table service.")
    objects = Address("The object store.")
    list = Address("The list of live and leaving VMs.")
    fleet_writes = Integer("Writes a second that all VMs together may make.", 300, minimum=1)
    fleet_reads = Integer("Reads a second that all VMs together may make.", 2000, minimum=1)


class LogSettings(Section):
    """What is logged."""

    heading = "log"

    level = Choice("Least weight of what is logged.", ("debug", "info", "warning", "error"), "info")


SECTIONS: dict[str, type[Section]] = {
    section.heading: section
    for section in (
        VmSettings,
        CallersSettings,
        AdminSettings,
        FleetSettings,
        PlatformSettings,
        LogSettings,
    )
}
"""All sections of a settings file by header."""


class Settings:
    """All settings of one daemon; `source` is the file."""

    __slots__ = ("source", "vm", "callers", "admin", "fleet", "platform", "log")

    def __init__(
        self,
        source: str,
        vm: VmSettings,
        callers: CallersSettings,
        admin: AdminSettings,
        fleet: FleetSettings,
        platform: PlatformSettings,
        log: LogSettings,
    ):
        self.source = source
        self.vm = vm
        self.callers = callers
        self.admin = admin
        self.fleet = fleet
        self.platform = platform
        self.log = log

    @classmethod
    def load(cls, path: str | Path) -> Result[Self, list[Problem]]:
        """Read a settings file; on failure return every problem in it."""
        return read_file(path).bind(lambda text: cls.parse(text, str(path)))

    @classmethod
    def parse(cls, text: str, source: str = "settings") -> Result[Self, list[Problem]]:
        """Read the text of a settings file; on failure return every problem in it."""
        sections, problems = read_sections(text, source)
        problems += [unknown_section(h, source) for h in sections if h not in SECTIONS]
        read = {}
        for header, kind in SECTIONS.items():
            if header not in sections and any(field.required for field in kind.fields.values()):
                problems.append(missing_section(header, source))
                continue
            section = kind.read("", sections.get(header, {}), source)
            if section.is_error():
                problems += section.error
                continue
            read[header] = section.ok
        problems += find_address_conflicts(read, source)
        if problems:
            return Error(problems)
        return Ok(cls(source, **read))

    def dump(self) -> dict:
        """Return all settings for the state dump, secrets hidden."""
        return {header: getattr(self, header).dump() for header in SECTIONS}


def unknown_section(header: str, source: str) -> Problem:
    """Return the problem of a section that settings do not have."""
    closest = get_close_matches(header, SECTIONS, n=1)
    instead = f"write [{closest[0]}]" if closest else "use " + ", ".join(f"[{s}]" for s in SECTIONS)
    return Problem(source, header, "", "there is no such section in settings", instead)


def missing_section(header: str, source: str) -> Problem:
    """Return the problem of a section that must be there."""
    needed = [key for key, field in SECTIONS[header].fields.items() if field.required]
    return Problem(source, header, "", "the section is missing", "add it with " + ", ".join(needed))


def find_address_conflicts(read: dict[str, Section], source: str) -> list[Problem]:
    """Return a problem for each address of this daemon that two of its ports share."""
    problems: list[Problem] = []
    seen: dict[str, str] = {}
    for header in ("callers", "admin", "fleet"):
        if header not in read or split_address(read[header].address)[1] == 0:
            continue
        address = read[header].address
        other = next((a for a in seen if addresses_conflict(a, address)), None)
        if other is not None:
            wrong = f"{address} cannot be bound beside {other} of [{seen[other]}]"
            problems.append(Problem(source, header, "address", wrong, "give each its own port"))
        seen.setdefault(address, header)
    return problems


def is_unspecified(address: str) -> bool:
    """Return True if `IP:port` stands for all addresses of the VM."""
    return ipaddress.ip_address(split_address(address)[0]).is_unspecified


def addresses_conflict(one: str, other: str) -> bool:
    """Return True if two addresses cannot both be bound."""
    if split_address(one)[1] != split_address(other)[1]:
        return False
    return one == other or is_unspecified(one) or is_unspecified(other)
