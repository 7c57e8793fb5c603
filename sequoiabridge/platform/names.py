"""Names on the platform's wire, lower case where they are headers."""

CALL_ID = b"x-attempt-id"
"""Names one attempt of a caller; upstreams repeat it on their answers."""

TIMEOUT_MS = b"x-deadline-ms"
"""Milliseconds that the sender still waits; not a point in time."""

SIGNATURE = b"x-server-signature"
"""An upstream's signature over its answer."""

INTENDED_UPSTREAM = b"x-expect-instance"
"""Id of the upstream that is meant; any other answers 421 and runs nothing."""

LOAD = b"x-instance-load"
"""Requests running, requests waiting, slots and, from some, the slowdown in percent."""

NOT_RUN = b"x-not-executed"
"""On answers to requests that did not run and never will."""

UPSTREAM_ID = b"x-instance-id"
"""On health answers and on 421: the id of the upstream that answered."""

RETRY_AFTER = b"retry-after"
"""Seconds, with fractions."""

CONTENT_ENCODING = b"content-encoding"
"""Nobody asks for an encoding; a body that has one is not the upstream's."""

CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
"""Where the operator's newest configuration lies."""

UPSTREAM_TABLE = "servers"
"""The upstreams' own entries, by id."""

MISDIRECTED_REQUEST = 421
"""Status of an upstream that was not the one meant."""
