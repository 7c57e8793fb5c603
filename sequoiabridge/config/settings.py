"""Settings of one daemon: one INI file, read at start."""

import ipaddress
from collections.abc import Iterator
from difflib import get_close_matches
from pathlib import Path
from typing import Self

from expression import Error, Ok, Result

from .fields import Choice, Integer, ListOf, Name, Secret
from .ini import read_file, read_sections
from .machine import MachineSection
from .problem import Problem
from .section import Section
from .units import Address, Duration, Size, split_address


class VmSettings(MachineSection):
    """Identity and size of this VM."""

    heading = "vm"

    name = Name("Name of this VM; unique in the fleet.")
    data_centre = Name("Data centre in which this VM runs.")


class CallersSettings(Section):
    """The port for callers and the limits on their connections."""

    heading = "callers"

    address = Address("Address for callers.", listen=True)
    max_head = Size(
        "Maximum size of request line and headers together.", 32_000, minimum=1000, maximum=10**6
    )
    max_connections = Integer(
        "Maximum number of open connections of callers; further ones are refused.",
        2000,
        minimum=1,
        maximum=100_000,
    )
    idle_timeout = Duration(
        "Time that a connection may stay open between two requests.",
        75.0,
        minimum=1.0,
        maximum=3600.0,
    )
    head_timeout = Duration(
        "Time that a caller may take to send request line and headers.",
        10.0,
        minimum=0.1,
        maximum=600.0,
    )
    body_timeout = Duration(
        "Longest time without progress while a caller sends its body or reads its answer.",
        30.0,
        minimum=0.1,
        maximum=3600.0,
    )
    balancer_lag = Duration(
        "Time between failing the health check and refusing connections on a planned stop.",
        10.0,
        maximum=600.0,
    )

    def check(self) -> Iterator[tuple[str, str, str]]:
        if self.idle_timeout < self.head_timeout:
            wrong = "it is shorter than head_timeout, so slow request heads would time out early"
            yield "idle_timeout", wrong, "make it at least as long as head_timeout"


class AdminSettings(Section):
    """The port for operators, metrics and the health check of the balancer."""

    heading = "admin"

    address = Address("Address for operators, metrics and health checks.", listen=True)
    token = Secret("Secret that operators send with each command.", min_length=16)


class FleetSettings(Section):
    """Communication with other daemons."""

    heading = "fleet"

    address = Address("Address for other daemons.", listen=True)
    seeds = ListOf("Fleet addresses of other daemons that are contacted first.", Address(""), ())
    key = Secret("Secret key of the fleet; the same on every VM.", min_length=32)
    bytes_per_second = Integer(
        "Average number of bytes per second that this daemon may send to others.",
        3000,
        minimum=300,
        maximum=10**7,
    )

    def check(self) -> Iterator[tuple[str, str, str]]:
        if is_unspecified(self.address):
            wrong = "other daemons cannot connect to an unspecified address"
            yield "address", wrong, "write the IP address of this VM"
        if self.address in self.seeds:
            yield "seeds", "the list contains the address of this daemon", "list only other daemons"


class PlatformSettings(Section):
    """Addresses of the platform's services and rate limits of the fleet."""

    heading = "platform"

    tables = Address("Address of the transactional table service.")
    objects = Address("Address of the object store.")
    list = Address("Address of the list of live and leaving VMs.")
    fleet_writes = Integer(
        "Maximum number of writes per second by all VMs together.", 300, minimum=1
    )
    fleet_reads = Integer(
        "Maximum number of reads per second by all VMs together.", 2000, minimum=1
    )


class LogSettings(Section):
    """Logging."""

    heading = "log"

    level = Choice(
        "Lowest level of messages that are logged.", ("debug", "info", "warning", "error"), "info"
    )


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
"""Sections of a settings file by header."""


class Settings:
    """All settings of one daemon; `source` is the file name."""

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
        """Read a settings file; return all problems on failure."""
        return read_file(path).bind(lambda text: cls.parse(text, str(path)))

    @classmethod
    def parse(cls, text: str, source: str = "settings") -> Result[Self, list[Problem]]:
        """Parse the text of a settings file; return all problems on failure."""
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
        """Return all settings for the state dump, without secrets."""
        return {header: getattr(self, header).dump() for header in SECTIONS}


def unknown_section(header: str, source: str) -> Problem:
    """Return the problem of an unknown section, with the closest known one."""
    closest = get_close_matches(header, SECTIONS, n=1)
    instead = f"write [{closest[0]}]" if closest else "use " + ", ".join(f"[{s}]" for s in SECTIONS)
    return Problem(source, header, "", "there is no such section", instead)


def missing_section(header: str, source: str) -> Problem:
    """Return the problem of a missing section."""
    needed = [key for key, field in SECTIONS[header].fields.items() if field.required]
    return Problem(source, header, "", "the section is missing", "add it with " + ", ".join(needed))


def find_address_conflicts(read: dict[str, Section], source: str) -> list[Problem]:
    """Return a problem for each address that conflicts with that of an earlier section."""
    problems: list[Problem] = []
    seen: dict[str, str] = {}
    for header in ("callers", "admin", "fleet"):
        if header not in read or split_address(read[header].address)[1] == 0:
            continue
        address = read[header].address
        other = next((a for a in seen if addresses_conflict(a, address)), None)
        if other is not None:
            wrong = f"{address} conflicts with {other} of [{seen[other]}]"
            problems.append(Problem(source, header, "address", wrong, "use a different port"))
        seen.setdefault(address, header)
    return problems


def is_unspecified(address: str) -> bool:
    """Return True if the IP address is unspecified, such as 0.0.0.0."""
    return ipaddress.ip_address(split_address(address)[0]).is_unspecified


def addresses_conflict(one: str, other: str) -> bool:
    """Return True if a process cannot bind both addresses."""
    if split_address(one)[1] != split_address(other)[1]:
        return False
    return one == other or is_unspecified(one) or is_unspecified(other)
