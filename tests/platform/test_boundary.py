"""Names of the platform stand in the adapter alone."""

import re
from pathlib import Path

import chicorychute

ROOT = Path(chicorychute.__file__).parent
NAMES = re.compile(
    r"X-Response-Stamp|X-Expect-Instance|X-Not-Run|X-Deadline-Ms|X-Caller"
    r"|kv-(?:range|watch|key)|cold_left|app_addr|op/config|path_prefix|health_path"
    r"|allow_stale|current_rev|servers/",
    re.IGNORECASE,
)


def test_no_name_of_the_platform_stands_outside_its_folder():
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in sorted(ROOT.rglob("*.py"))
        if path.parent != ROOT / "platform"
        for match in NAMES.finditer(path.read_text("utf-8"))
    ]
    assert found == []


def test_names_are_found_where_they_stand():
    assert NAMES.search((ROOT / "platform" / "dialect.py").read_text("utf-8"))
    assert NAMES.search((ROOT / "platform" / "store.py").read_text("utf-8"))
