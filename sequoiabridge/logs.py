"""Logs: short sentences with a fixed prefix for each part, shown by absl.

absl itself is imported only by `set_up`: a process that writes its logs in another form (see
`relay.journal`) then does without its 2.6 MB.
"""

import logging

ROOT_LOGGER = "sequoiabridge"
"""Name of the logger above those of all parts."""


class PrefixAdapter(logging.LoggerAdapter):
    """Puts a part's fixed prefix before each message."""

    def process(self, msg, kwargs):
        return f"{self.extra['prefix']}: {msg}", kwargs


def get_log(part: str) -> PrefixAdapter:
    """Return the log of one part; each module keeps its own as `log`."""
    return PrefixAdapter(logging.getLogger(f"{ROOT_LOGGER}.{part}"), {"prefix": part})


def configure_logging(level: str) -> None:
    """Send logs of `level` ("debug", "info", "warning", "error") and above to standard error."""
    from absl import flags
    from absl import logging as absl_logging

    flags.FLAGS.mark_as_parsed()  # The command line is defopt's; absl would warn that it is not.
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    logging.getLogger(ROOT_LOGGER).setLevel(level.upper())
    silence_curio_timeouts()


def silence_curio_timeouts() -> None:
    """Silence curio's warning of waits that ended just after their timeout: no news under load."""
    logging.getLogger("curio.time").setLevel(logging.ERROR)
