"""Runs a daemon."""

import argparse
from pathlib import Path

from result import Err

from chicorychute.conf.settings import read_settings
from chicorychute.core.management.base import (
    EXIT_BAD_INPUT,
    BaseCommand,
    CommandError,
)

DEFAULT_RECORD_MB = 64


class Command(BaseCommand):
    """Start a daemon and serve until a signal asks it to stop."""

    help = "Run the daemon beside an instance's upstreams."
    examples = "example: chicorychute run -c daemon.ini"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the settings file."""
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

    def handle(self, options: argparse.Namespace) -> int:
        """Check the settings, then serve."""
        found = read_settings(options.config)
        if isinstance(found, Err):
            lines = "\n".join(str(fault) for fault in found.err_value)
            raise CommandError(lines, EXIT_BAD_INPUT)
        settings = found.ok_value
        from chicorychute.daemon import Daemon
        from chicorychute.services.recorder import RecordError
        from chicorychute.telemetry.logs import configure_logs

        configure_logs(settings.get("log", "format"), settings.get("log", "level"))
        max_bytes = options.record_mb << 20
        try:
            daemon = Daemon(settings, options.record, max_bytes)
        except RecordError as error:
            raise CommandError(str(error), EXIT_BAD_INPUT) from error
        return daemon.run()
