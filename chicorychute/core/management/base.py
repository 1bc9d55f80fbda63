"""Base class of the commands."""

import argparse

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
# Shells report 128 + 2 for a process that SIGINT ended.
EXIT_INTERRUPTED = 130


class CommandError(Exception):
    """Failure of a command; the message goes to standard error."""

    def __init__(self, message: str, exit_code: int = EXIT_FAILED):
        super().__init__(message)
        self.exit_code = exit_code


class BaseCommand:
    """One command: its help, its arguments and its handler.

    Attributes
    ----------
    shows_progress : bool
        Whether a line on the terminal shows that the command is still running.
    """

    help = ""
    examples = ""
    shows_progress = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments on `parser`."""

    def handle(self, options: argparse.Namespace) -> int:
        """Run the command and return its exit code.

        Raises
        ------
        CommandError
            If the command fails; its `exit_code` becomes that of the process.
        """
        raise NotImplementedError
