"""Runs a daemon."""

import argparse
import resource
import socket
from pathlib import Path
from typing import NoReturn

from result import Err

from chicorychute.conf.consistency import LISTENERS
from chicorychute.conf.settings import Settings, read_settings
from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    BaseCommand,
    CommandError,
)

DEFAULT_RECORD_MB = 64
# Longest wait at exit for the last log lines to be written.
LOG_FLUSH_TIMEOUT_S = 0.5


class Command(BaseCommand):
    """Start a daemon and serve until a signal asks it to stop."""

    help = "Run the daemon that serves an instance's local upstreams."
    examples = (
        "example: chicorychute run -c daemon.ini\n\n"
        "SIGTERM or SIGINT drains and stops; a second one aborts the\n"
        "requests in flight.\n\n"
        "exit codes: 0 stopped by a signal; 1 can't listen on a port;\n"
        "2 bad arguments or settings"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the settings file and the recording."""
        parser.add_argument("-c", "--config", type=Path, required=True, help="INI file")
        parser.add_argument(
            "--record", type=Path, metavar="FILE", help="write a trace for replay"
        )
        parser.add_argument(
            "--record-mb",
            type=int,
            default=DEFAULT_RECORD_MB,
            help="megabytes at which the trace ends (%(default)s)",
        )

    def handle(self, options: argparse.Namespace) -> NoReturn:
        """Check the settings and the ports, then serve until the process ends."""
        result = read_settings(options.config)
        if isinstance(result, Err):
            lines = "\n".join(str(fault) for fault in result.err_value)
            raise CommandError(lines, EXIT_BAD_INPUT)
        settings = result.ok_value
        _check_ports(settings)
        raise_file_limit()
        from chicorychute.core.system_clock import SystemClock
        from chicorychute.daemon import Daemon
        from chicorychute.services.recorder import RecordError
        from chicorychute.telemetry.logs import configure_logs

        writer = configure_logs(
            settings.get("log", "format"),
            settings.get("log", "level"),
            SystemClock(),
            settings.get("instance", "id"),
        )
        max_bytes = options.record_mb << 20
        try:
            daemon = Daemon(settings, options.record, max_bytes, options.config)
            daemon.on_exit = lambda: writer.flush(LOG_FLUSH_TIMEOUT_S)
        except RecordError as error:
            raise CommandError(str(error), EXIT_BAD_INPUT) from error
        except OSError as error:
            raise CommandError(
                f"can't start the daemon ({error}): free the port that is in use"
            ) from error
        daemon.run()


def raise_file_limit() -> None:
    """Raise the soft limit of open files to the hard limit.

    Each connection takes a file descriptor.
    """
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


def _check_ports(settings: Settings) -> None:
    """Report every port that can't be listened on, before anything starts.

    Raises
    ------
    CommandError
        If there is at least one such port.
    """
    lines = []
    for section in LISTENERS:
        host, port = settings.get(section, "host"), settings.get(section, "port")
        try:
            socket.create_server((host, port)).close()
        except OSError as error:
            lines.append(
                f"[{section}] can't listen on {host}:{port} ({error.strerror}):"
                " stop the process that uses it, or set another host or port"
            )
    if lines:
        raise CommandError("\n".join(lines))
