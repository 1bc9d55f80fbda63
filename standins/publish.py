"""Publishes a table file on the platform stand-in under a new version."""

import argparse
import sys
from pathlib import Path

import urllib3

DEFAULT_PLATFORM = "http://127.0.0.1:9000"


def main() -> None:
    """Publish the file and print its version."""
    parser = argparse.ArgumentParser(prog="standins.publish", description=__doc__)
    parser.add_argument("table", type=Path, help="CSV file")
    parser.add_argument(
        "version", type=int, help="must be higher than every published version"
    )
    parser.add_argument("--platform", default=DEFAULT_PLATFORM)
    options = parser.parse_args()
    document = {
        "version": options.version,
        "text": options.table.read_bytes().decode("utf-8"),
    }
    url = f"{options.platform}/config/table"
    answer = urllib3.request("PUT", url, json=document, retries=False)
    if answer.status != 200:
        sys.exit(f"table not published: {url} answered {answer.status}, not 200")
    print(f"published version {options.version}")


if __name__ == "__main__":
    main()
