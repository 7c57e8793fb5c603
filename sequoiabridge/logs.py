"""Loggers of the daemon's components, and their output through absl.

absl is imported only by `configure_logging`, so that processes which log in another way do not
load it.
"""

import logging

ROOT_LOGGER = "sequoiabridge"
"""Name of the parent of all loggers."""


class PrefixAdapter(logging.LoggerAdapter):
    """Prefixes each message with the name of its component."""

    def process(self, msg, kwargs):
        return f"{self.extra['prefix']}: {msg}", kwargs


def get_log(component: str) -> PrefixAdapter:
    """Return the logger of a component; modules keep it as `log`."""
    return PrefixAdapter(logging.getLogger(f"{ROOT_LOGGER}.{component}"), {"prefix": component})


def configure_logging(level: str) -> None:
    """Log messages of `level` ("debug", "info", "warning", "error") and above to standard error."""
    from absl import flags
    from absl import logging as absl_logging

    flags.FLAGS.mark_as_parsed()  # Avoids a warning: absl does not parse the command line here.
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    logging.getLogger(ROOT_LOGGER).setLevel(level.upper())
    silence_curio_timeouts()


def silence_curio_timeouts() -> None:
    """Silence curio's warnings about operations that completed just after their timeout."""
    logging.getLogger("curio.time").setLevel(logging.ERROR)
