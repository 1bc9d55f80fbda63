"""Prints the version."""

import argparse

from chicorychute import VERSION
from chicorychute.core.management.base import EXIT_OK, BaseCommand


class Command(BaseCommand):
    """Print the version of the program."""

    help = "Print the version."
    examples = "example: chicorychute version"

    def handle(self, options: argparse.Namespace) -> int:
        """Print the name and the version."""
        print(f"chicorychute {VERSION}")
        return EXIT_OK
