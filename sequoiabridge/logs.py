"""Logging by absl: short sentences with a fixed prefix for each part."""

import logging as std_logging

from absl import flags, logging


class PrefixAdapter(std_logging.LoggerAdapter):
    """Puts a part's fixed prefix before each message."""

    def process(self, msg, kwargs):
        return f"{self.extra['prefix']}: {msg}", kwargs


def get_log(part: str) -> PrefixAdapter:
    """Return the log of one part; each module keeps its own as `log`."""
    return PrefixAdapter(logging.get_absl_logger(), {"prefix": part})


def set_up(level: str) -> None:
    """Send logs of `level` ("debug", "info", "warning", "error") and above to standard error."""
    flags.FLAGS.mark_as_parsed()  # The command line is defopt's; absl would warn that it is not.
    logging.use_absl_handler()
    logging.set_verbosity(level)
    # Curio warns of each wait that ended just after its timeout; under load that is no news.
    std_logging.getLogger("curio.time").setLevel(std_logging.ERROR)
