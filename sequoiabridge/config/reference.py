"""Writes the settings reference from the declared options.

`python -m sequoiabridge.config.reference` prints the page docs/operators/settings.md.
"""

from collections.abc import Iterator

from .fields import Field
from .gateway_settings import SECTIONS as GATEWAY_SECTIONS
from .kinds import KINDS
from .section import Section
from .settings import SECTIONS

INTRODUCTION = """\
# Settings

Made by `make settings-reference` from the options that the code declares; a test compares them.

Files are INI: `[section]`, then `option = value`, one a line; comments begin with `#` or `;`.
Lists are separated by commas. Times are written `250ms`, `3s`, `5m`; sizes `64KB`, `10MB`
(1 KB is 1,000 bytes); addresses `IP:port`, never a host name. `sequoiactl check FILE...` reports
every error of a file at once.
"""

SETTINGS_TEXT = """\
## Settings of one daemon

One file for each VM: `sequoiabridged SETTINGS.ini`; `--check` only checks it. Changed settings
need a restart. `examples/vm.ini` is a whole file.
"""

GATEWAY_TEXT = """\
## Settings of a daemon on the users' platform

The platform fills in `sequoiabridge/platform/settings.template`. The path stands in the variable
`SEQUOIABRIDGE_CONFIG`, or is the one argument of `python -m sequoiabridge.commands.gateway`.
`examples/gateway.ini` is a whole file.
"""

DOCUMENT_TEXT = """\
## Configuration of the fleet

One document for all VMs, changed by `sequoiactl apply FILE` or `sequoiactl ask`, and never by
editing a file on a VM. Each section has a name: `[service reports]`. `examples/kaleva.ini` and
`examples/norrvik.ini` are whole files.
"""


def main() -> None:
    """Print the page."""
    print(page(), end="")


def page() -> str:
    """Return the page as Markdown."""
    lines = [INTRODUCTION, SETTINGS_TEXT]
    lines += [text for kind in SECTIONS.values() for text in section(kind, kind.heading)]
    lines.append(GATEWAY_TEXT)
    lines += [text for kind in GATEWAY_SECTIONS.values() for text in section(kind, kind.heading)]
    lines.append(DOCUMENT_TEXT)
    lines += [text for kind in KINDS.values() for text in section(kind, f"{kind.heading} NAME")]
    return "\n".join(lines)


def section(kind: type[Section], header: str) -> Iterator[str]:
    """Yield the lines of one section."""
    about = (kind.__doc__ or "").splitlines()[0].rpartition("`: ")[2]
    yield f"### `[{header}]`\n\n{about[0].upper()}{about[1:]}\n"
    yield "| option | what it says | what may be written | default |"
    yield "| --- | --- | --- | --- |"
    for key, field in kind.fields.items():
        cells = (f"`{key}`", field.help, field.expected, default(field))
        yield "| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |"
    yield ""


def default(field: Field) -> str:
    """Return the text of a field's default."""
    if field.required:
        return "must be given"
    text = field.format(field.default)
    return f"`{text}`" if text else "empty"


if __name__ == "__main__":
    main()
