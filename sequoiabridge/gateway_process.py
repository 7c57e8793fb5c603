"""Runs the gateway daemon as a process: its settings, its signals and its exit code."""

from __future__ import annotations

import os
import signal
import sys

import curio

from .config.gateway_settings import GatewaySettings
from .config.problem import Invalid
from .exceptions import SequoiaError
from .gateway import Gateway
from .relay.decisions import STDOUT
from .selector import LazySelector

STDERR = 2


def run_daemon(path: str) -> int:
    """Run the daemon of a settings file until it is stopped; return its exit code.

    Invalid settings and errors that prevent the start are printed to standard error.
    """
    try:
        settings = GatewaySettings.load(path)
        os.set_blocking(STDOUT, False)
        os.set_blocking(STDERR, False)
        gateway = Gateway(settings)
        catch_signals(gateway)
        return curio.run(gateway.run, selector=LazySelector()) or 0
    except Invalid as error:
        for problem in error.problems:
            print(problem.text, file=sys.stderr)
        return error.exit_code
    except SequoiaError as error:
        print(f"sequoiabridge: {' '.join(str(error).split())}", file=sys.stderr)
        return error.exit_code


def catch_signals(gateway: Gateway) -> None:
    """Install signal handlers: SIGTERM and SIGINT stop the daemon, SIGHUP reloads settings."""

    def stop(number: int, frame: object) -> None:
        gateway.begin_stop()
        gateway.stop_requested.set()

    def reload(number: int, frame: object) -> None:
        gateway.settings_reloader.reload_requested = True

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, reload)
