"""Reads the operators' pages of a daemon for the commands."""

import argparse
from pathlib import Path

import urllib3
from result import Err

from chicorychute.conf.settings import read_settings
from chicorychute.core.management.base import EXIT_BAD_INPUT, CommandError

DEFAULT_URL = "http://127.0.0.1:8082"
FETCH_TIMEOUT_S = 5.0
HTTP_OK = 200


def add_operator_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments that select a daemon's operator port."""
    parser.add_argument(
        "--url", help=f"operator URL of a daemon (default {DEFAULT_URL})"
    )
    parser.add_argument(
        "-c", "--config", type=Path, help="settings file that gives the operator port"
    )


def operator_url(options: argparse.Namespace) -> str:
    """Return the operator URL that the options select.

    Raises
    ------
    CommandError
        If the settings file has faults.
    """
    if options.url is not None:
        return options.url.rstrip("/")
    if options.config is None:
        return DEFAULT_URL
    result = read_settings(options.config)
    if isinstance(result, Err):
        lines = "\n".join(str(fault) for fault in result.err_value)
        raise CommandError(lines, EXIT_BAD_INPUT)
    settings = result.ok_value
    host, port = settings.get("operator", "host"), settings.get("operator", "port")
    return f"http://{host}:{port}"


def fetch(url: str) -> urllib3.BaseHTTPResponse:
    """Return the response to a GET of an operator page.

    Raises
    ------
    CommandError
        If the daemon does not answer, or with another status than 200.
    """
    remedy = "name a running daemon's operator URL with --url or -c"
    try:
        with urllib3.PoolManager(retries=False) as http:
            answer = http.request("GET", url, timeout=FETCH_TIMEOUT_S)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise CommandError(f"{url} does not answer ({error}): {remedy}") from error
    if answer.status != HTTP_OK:
        raise CommandError(f"{url} answered {answer.status}, not {HTTP_OK}: {remedy}")
    return answer
