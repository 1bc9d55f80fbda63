"""Base class of the commands."""

import argparse

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130  # as shells report an end by SIGINT


class CommandError(Exception):
    """A command failed; the message goes to standard error."""

    def __init__(self, message: str, exit_code: int = EXIT_FAILED):
        super().__init__(message)
        self.exit_code = exit_code


class BaseCommand:
    """One command: its help, its arguments and what it does.

    Attributes
    ----------
    shows_progress : bool
        Whether a person is shown that it is at work.
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
            If the command can't do its work.
        """
        raise NotImplementedError
