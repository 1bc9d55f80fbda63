"""Command line: one command class per module, found by the module's name."""

import argparse
import importlib
import os
import pkgutil
import sys
from collections.abc import Callable

from chicorychute.core.management.base import (
    EXIT_FAILED,
    EXIT_INTERRUPTED,
    BaseCommand,
    CommandError,
)
from chicorychute.core.management.progress import progress

COMMANDS_PACKAGE = "chicorychute.core.management.commands"


def command_names() -> list[str]:
    """Return the name of every command module, sorted."""
    package = importlib.import_module(COMMANDS_PACKAGE)
    return sorted(module.name for module in pkgutil.iter_modules(package.__path__))


def load_command(name: str) -> BaseCommand:
    """Return the command that the module `name` defines."""
    module = importlib.import_module(f"{COMMANDS_PACKAGE}.{name}")
    return module.Command()


def _with_progress(
    command: BaseCommand, name: str
) -> Callable[[argparse.Namespace], int]:
    """Return the handler of a command, with a progress line for a long one."""

    def run(options: argparse.Namespace) -> int:
        with progress(name):
            return command.handle(options)

    return run if command.shows_progress else command.handle


def main(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    parser = argparse.ArgumentParser(
        prog="chicorychute",
        description="Proxy fleet for upstreams with gray failures.",
        epilog="exit codes: 0 done; 1 failed; 2 bad arguments, settings or table",
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name in command_names():
        command = load_command(name)
        subparser = subparsers.add_parser(
            name,
            help=command.help,
            description=command.help,
            epilog=command.examples,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
        subparser.set_defaults(run=_with_progress(command, name))
    options = parser.parse_args(arguments)
    try:
        return options.run(options)
    except CommandError as error:
        for line in str(error).splitlines():
            print(f"chicorychute: {line}", file=sys.stderr)
        return error.exit_code
    except BrokenPipeError:
        # The reader closed the pipe. Without the redirection the flush at exit
        # would write to it again and raise once more.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
