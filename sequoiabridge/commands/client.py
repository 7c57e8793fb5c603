"""Client for the admin port of a daemon."""

import getpass
import http.client
import json
import os
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

from ..config.units import split_address
from ..exceptions import (
    AdminError,
    ConfigurationError,
    ConflictError,
    SequoiaError,
    StoreUnavailable,
)
from ..formatting import describe_error

TOKEN_VARIABLE = "SEQUOIA_TOKEN"

AUTHOR_VARIABLE = "SEQUOIA_AUTHOR"

DEFAULT_TIMEOUT = 30.0
"""Seconds to wait for an answer."""

EXIT_INCOMPLETE = 1
"""Exit code with `--strict` if a VM did not answer."""

MAX_ANSWER_BYTES = 100_000_000
"""Maximum size of an answer."""


class DaemonUnavailable(AdminError):
    """The daemon could not be reached or did not answer."""

    exit_code = 4


class NothingFound(SequoiaError):
    """The daemon has nothing with the requested name."""


ERROR_BY_STATUS: dict[int, type[SequoiaError]] = {
    400: ConfigurationError,
    401: AdminError,
    403: AdminError,
    404: NothingFound,
    409: ConflictError,
    503: StoreUnavailable,
}
"""Errors by HTTP status of the admin port; any other status raises `SequoiaError`."""


class AdminClient:
    """Sends requests to the admin port of one daemon.

    Args:
        address: `IP:port` of the admin port.
        token: The operators' token in the daemon's settings.
        timeout: Seconds to wait for the connection, then for the answer.
    """

    def __init__(self, address: str, token: str, timeout: float = DEFAULT_TIMEOUT):
        try:
            self.ip, self.port = split_address(address)
        except ValueError:
            message = f"--admin {address} is not valid: write IP:port, such as 10.0.0.5:9000."
            raise ConfigurationError(message) from None
        self.address = address
        self.token = token
        self.timeout = timeout

    def get(self, *path: str, **query: str) -> Any:
        """Send a request that changes nothing."""
        return self.request("GET", request_target(path, query), b"", changes=False)

    def post(self, *path: str, body: str, changes: bool = True, **query: str) -> Any:
        """Send a command or a document; `changes` is False for a read-only command."""
        return self.request("POST", request_target(path, query), body.encode(), changes)

    def request(self, method: str, request_path: str, body: bytes, changes: bool) -> Any:
        """Send a request and return the JSON of the answer."""
        connection = http.client.HTTPConnection(self.ip, self.port, timeout=self.timeout)
        try:
            connection.connect()
        except OSError as error:
            raise DaemonUnavailable(
                f"Cannot connect to {self.address} ({describe_error(error)}): "
                "check the address and that the daemon is running."
            ) from None
        headers = {"Authorization": f"Bearer {self.token}", "Content-Length": str(len(body))}
        headers["Sequoia-Author"] = operator_name()
        try:
            connection.request(method, request_path, body, headers)
            response = connection.getresponse()
            data = response.read(MAX_ANSWER_BYTES)
        except (OSError, http.client.HTTPException) as error:
            raise self.lost_answer_error(changes, error) from None
        finally:
            connection.close()
        return self.parse_answer(response.status, data)

    def lost_answer_error(self, changes: bool, error: Exception) -> DaemonUnavailable:
        """Return the error for a request that was sent but not answered."""
        remedy = "Try again, or try another VM."
        if changes:
            remedy = "The change may have been done: check the state before you try again."
        return DaemonUnavailable(
            f"The daemon at {self.address} did not answer ({describe_error(error)}). {remedy}"
        )

    def parse_answer(self, status: int, data: bytes) -> Any:
        """Return the JSON of an answer, or raise the error that it reports."""
        try:
            answer = json.loads(data)
        except ValueError:
            message = f"The answer of {self.address} (status {status}) is not JSON: "
            raise AdminError(
                message + "check that --admin is the address of an admin port."
            ) from None
        if status < 300:
            return answer
        error = answer.get("error", {}) if isinstance(answer, dict) else {}
        message = str(error.get("message") or f"The daemon answered with status {status}.")
        if error.get("column"):
            message = f"column {error['column']}: {message}"
        raise ERROR_BY_STATUS.get(status, SequoiaError)(message)


def make_client(admin: str, token_file: Path | None, timeout: float) -> AdminClient:
    """Return a client with the token from `token_file` or from the environment."""
    return AdminClient(admin, read_token(token_file), timeout)


def read_token(token_file: Path | None) -> str:
    """Return the operator's token from `token_file` or from the environment."""
    if token_file is None:
        token = os.environ.get(TOKEN_VARIABLE, "").strip()
        source = TOKEN_VARIABLE
    else:
        try:
            token = token_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError):
            message = f"The token file {token_file} cannot be read: check its path and permissions."
            raise ConfigurationError(message) from None
        source = str(token_file)
    if not token:
        message = f"No token is given: use --token-file FILE or set {TOKEN_VARIABLE}."
        raise ConfigurationError(message)
    if not token.isascii() or not token.isprintable():
        raise ConfigurationError(
            f"The token in {source} must be one line of printable ASCII: correct it."
        )
    return token


def operator_name() -> str:
    """Return the operator's name for the history: from the environment, else the login name.

    The name is sent in a header, so non-ASCII characters are replaced by `?`.
    """
    name = os.environ.get(AUTHOR_VARIABLE, "").strip()
    if not name:
        try:
            name = getpass.getuser()
        except (KeyError, OSError):
            return ""
    printable = "".join(c for c in name if c.isprintable())
    return printable.encode("ascii", "replace").decode()


def request_target(path: tuple[str, ...], query: dict[str, str]) -> str:
    """Return a request target with quoted segments and query."""
    request_path = "/" + "/".join(quote(part, safe="") for part in path)
    return f"{request_path}?{urlencode(query)}" if query else request_path
