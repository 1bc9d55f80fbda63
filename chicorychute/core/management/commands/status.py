"""Shows the status of a daemon and its view of the fleet."""

import argparse
import json

from chicorychute.core.management.base import (
    EXIT_FAILED,
    EXIT_OK,
    BaseCommand,
    CommandError,
)
from chicorychute.core.management.operator import (
    add_operator_arguments,
    fetch,
    operator_url,
)
from chicorychute.core.management.text import format_columns

DEFAULT_ROW_COUNT = 20
HEALTHY = ("alive", "healthy")


class Command(BaseCommand):
    """Show the table in force, the service level and the upstreams' verdicts."""

    help = "Show the status of a daemon and its view of the fleet, on one screen."
    examples = (
        "examples:\n"
        "  chicorychute status\n"
        "  chicorychute status -c daemon.ini\n"
        "  chicorychute status --url http://10.0.0.7:8082 --json\n\n"
        "exit codes: 0 the daemon is ready; 1 it is not, or does not answer;\n"
        "2 bad arguments or settings"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the daemon and the output format."""
        add_operator_arguments(parser)
        parser.add_argument("--json", action="store_true", help="print JSON")
        parser.add_argument(
            "--all",
            action="store_true",
            help=f"list every instance, not the first {DEFAULT_ROW_COUNT}",
        )

    def handle(self, options: argparse.Namespace) -> int:
        """Print the status."""
        url = operator_url(options)
        try:
            status = json.loads(fetch(url + "/status").data)
        except ValueError as error:
            problem = f"{url}/status is not valid JSON ({error})"
            raise CommandError(
                f"{problem}: name a daemon's operator URL with --url or -c"
            ) from error
        if options.json:
            print(json.dumps(status, indent=2))
        else:
            print("\n".join(format_status(status, options.all)))
        return EXIT_FAILED if status["not_ready"] else EXIT_OK


def format_status(status: dict, show_all: bool) -> list[str]:
    """Return the lines of the report."""
    state = f"not ready: {status['not_ready']}" if status["not_ready"] else "ready"
    lines = [
        f"{status['instance']} in {status['zone']}, {status['region']}: {state}",
        (
            f"table: version {status['table_version']} in force"
            f" for {status['table_age_s']:g} s"
        ),
        "",
        "service level, last minute, requests that entered here",
        *format_columns(
            [
                ("service", "rank", "requests", "within target"),
                *_service_level_rows(status),
            ]
        ),
        "",
        "upstreams of this instance",
        *format_columns(
            [("upstream", *UPSTREAM_HEADINGS, "reason"), *_upstream_rows(status)]
        ),
        "",
    ]
    rows = _instance_rows(status)
    shown_rows = rows if show_all else rows[:DEFAULT_ROW_COUNT]
    lines.append(_member_counts_line(status))
    lines.extend(
        format_columns([("instance", "status", "zone", *MEMBER_HEADINGS), *shown_rows])
    )
    if len(shown_rows) < len(rows):
        lines.append(f"... and {len(rows) - len(shown_rows)} more (--all)")
    return lines


UPSTREAM_HEADINGS = ("service", "verdict", "busy", "queued", "ms", "failed")
MEMBER_HEADINGS = ("table", "upstream", *UPSTREAM_HEADINGS)


def _service_level_rows(status: dict) -> list[tuple]:
    return [
        (
            level["service"],
            level["rank"],
            level["requests"],
            f"{level['share']:.1%}" if level["requests"] else "-",
        )
        for level in sorted(
            status["service_level"], key=lambda level: (level["service"], level["rank"])
        )
    ]


def _upstream_rows(status: dict) -> list[tuple]:
    return [
        (digest["upstream"], *_upstream_cells(digest), digest["reason"])
        for digest in status["upstreams"]
    ]


def _instance_rows(status: dict) -> list[tuple]:
    """Return a row for each upstream, those out of rotation first.

    An instance without upstreams gets one row.
    """
    rows = []
    for member in status["instances"]:
        member_cells = (member["instance"], member["status"], member["zone"])
        version = member["table_version"]
        for digest in member["upstreams"]:
            rows.append(
                (*member_cells, version, digest["upstream"], *_upstream_cells(digest))
            )
        if not member["upstreams"]:
            rows.append(
                (*member_cells, version, "-", *("-" for _ in UPSTREAM_HEADINGS))
            )
    return sorted(rows, key=lambda row: ((row[1], row[6]) == HEALTHY, row[0], row[4]))


def _upstream_cells(digest: dict) -> tuple:
    return (
        digest["service"],
        digest["verdict"],
        f"{digest['in_flight']}/{digest['slots']}",
        digest["queued"],
        f"{digest['latency_ms']:g}",
        f"{digest['failure_share']:.1%}",
    )


def _member_counts_line(status: dict) -> str:
    counts: dict[str, int] = {}
    for member in status["instances"]:
        counts[member["status"]] = counts.get(member["status"], 0) + 1
    counts_text = ", ".join(f"{count} {name}" for name, count in sorted(counts.items()))
    return f"instances known here: {counts_text}"
