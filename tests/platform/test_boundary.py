"""Only the adapter may use the platform's names.

A header, path or field of the platform in another package would tie the product to
this one platform.
"""

import re
from pathlib import Path

import chicorychute

ROOT = Path(chicorychute.__file__).parent
PLATFORM_NAMES = re.compile(
    r"X-Response-Stamp|X-Expect-Instance|X-Not-Run|X-Deadline-Ms|X-Caller"
    r"|kv-(?:range|watch|key)|cold_left|app_addr|op/config|path_prefix|health_path"
    r"|allow_stale|current_rev|servers/",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_adapter():
    violations = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in sorted(ROOT.rglob("*.py"))
        if path.parent != ROOT / "platform"
        for match in PLATFORM_NAMES.finditer(path.read_text("utf-8"))
    ]
    assert violations == []


def test_pattern_matches_names_inside_the_adapter():
    assert PLATFORM_NAMES.search((ROOT / "platform" / "dialect.py").read_text("utf-8"))
    assert PLATFORM_NAMES.search((ROOT / "platform" / "store.py").read_text("utf-8"))
