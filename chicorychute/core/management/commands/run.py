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


class Command(BaseCommand):
    """Start a daemon and serve until a signal asks it to stop."""

    help = "Run the daemon beside an instance's upstreams."
    examples = "example: chicorychute run -c daemon.ini"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the settings file."""
        parser.add_argument("-c", "--config", type=Path, required=True, help="INI file")

    def handle(self, options: argparse.Namespace) -> int:
        """Check the settings, then serve."""
        found = read_settings(options.config)
        if isinstance(found, Err):
            lines = "\n".join(str(fault) for fault in found.err_value)
            raise CommandError(lines, EXIT_BAD_INPUT)
        settings = found.ok_value
        from chicorychute.core.system_clock import SystemClock
        from chicorychute.daemon import Daemon
        from chicorychute.telemetry.logs import configure_logs

        configure_logs(
            settings.get("log", "format"), settings.get("log", "level"), SystemClock()
        )
        return Daemon(settings).run()
