"""Entry point of the command line."""

import sys

from chicorychute.core.management import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
