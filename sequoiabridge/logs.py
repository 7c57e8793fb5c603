"""Logging by absl: short sentences with a fixed prefix for each part."""

import logging as std_logging

from absl import logging


class PrefixAdapter(std_logging.LoggerAdapter):
    """Puts a part's fixed prefix before each message."""

    def process(self, msg, kwargs):
        return f"{self.extra['prefix']}: {msg}", kwargs


def get_log(part: str) -> PrefixAdapter:
    """Return the log of one part; each module keeps its own as `log`."""
    return PrefixAdapter(logging.get_absl_logger(), {"prefix": part})


def set_up(level: str) -> None:
    """Send logs of `level` ("debug", "info", "warning", "error") and above to standard error."""
    logging.use_absl_handler()
    logging.set_verbosity(level)
