"""The reference pages agree with the program.

Guards against pages that are outdated because the code changed without them: settings,
table, reasons, metrics, log prefixes, commands, links and the example files.
"""

import re
from pathlib import Path

import pytest

from chicorychute.conf.settings import read_settings
from chicorychute.core.clock import ManualClock
from chicorychute.core.management import command_names
from chicorychute.table.parse import parse_table
from chicorychute.telemetry.instruments import Instruments
from release.reference import DIRECTORY, RENDER_BY_PAGE

ROOT = Path(__file__).resolve().parents[2]
PREFIX = re.compile(
    r'logger\.(?:debug|info|warning|error|exception)\(\s*"([a-z]+): ', re.DOTALL
)
LINK = re.compile(r"\]\(([^)#:]+\.md)(?:#[^)]*)?\)")


@pytest.mark.parametrize("page", RENDER_BY_PAGE)
def test_written_page_is_what_the_code_says(page):
    text = (DIRECTORY / page).read_text("utf-8")
    assert text == RENDER_BY_PAGE[page](), "run make reference"


def test_every_metric_is_on_its_page():
    instruments = Instruments("i1", ManualClock())
    instruments.publish_upstreams(list)
    instruments.publish_members(dict)
    instruments.publish_platform_reads(lambda: 0)
    instruments.publish_table_conflicts(lambda: 0)
    page = (DIRECTORY / "metrics.md").read_text("utf-8")
    source = (ROOT / "chicorychute/telemetry/instruments.py").read_text("utf-8")
    names = set(re.findall(r'"(chute_[a-z_]+)"', source))
    names |= {f"chute_upstream_{field}" for field in ("slots", "in_flight", "queued")}
    assert sorted(name for name in names if f"`{name}" not in page) == []


def test_every_log_prefix_is_on_its_page():
    page = (DIRECTORY / "logs.md").read_text("utf-8")
    sources = [p.read_text("utf-8") for p in (ROOT / "chicorychute").rglob("*.py")]
    used = {prefix for source in sources for prefix in PREFIX.findall(source)}
    assert used
    assert sorted(name for name in used if f"`{name}:`" not in page) == []


def test_every_command_is_on_its_page():
    page = (DIRECTORY / "commands.md").read_text("utf-8")
    assert [name for name in command_names() if f"## {name}" not in page] == []


def test_links_between_pages_lead_somewhere():
    broken = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in (ROOT / "docs").rglob("*.md")
        for target in LINK.findall(page.read_text("utf-8"))
        if not (page.parent / target).exists()
    ]
    assert broken == []


def test_files_of_the_first_fleet_have_no_faults():
    directory = ROOT / "examples" / "first-fleet"
    settings = sorted(directory.glob("*.ini"))
    assert len(settings) == 3
    assert all(read_settings(path).is_ok() for path in settings)
    assert parse_table(1, (directory / "table.csv").read_text("utf-8")).is_ok()
