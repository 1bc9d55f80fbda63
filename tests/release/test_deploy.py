"""Build of the deployment on the users' machines.

Guards against libraries that no daemon needs: one of them, where it is installed, is
imported by the library of the logs, and each start of each daemon pays for it.
"""

import tomllib
from importlib.metadata import requires
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
# zc.lockfile asks for it and imports it only to build itself.
BUILD_ONLY = {"setuptools"}
DEPLOYED = (ROOT / "requirements" / "run.txt").read_text("utf-8").split()


def test_build_installs_nothing_that_is_not_listed():
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))["build"]
    assert "--no-deps" in build.split()
    assert "requirements/run.txt" in build


@pytest.mark.parametrize("pinned", DEPLOYED)
def test_what_a_listed_library_asks_for_is_listed(pinned):
    listed = {_normalized(line.partition("==")[0]) for line in DEPLOYED}
    unused_lines = (ROOT / "requirements" / "constraints.txt").read_text("utf-8")
    unused = {
        _normalized(line.partition("==")[0])
        for line in unused_lines.splitlines()
        if "==" in line
    }
    for requirement in requires(pinned.partition("==")[0]) or ():
        name, _, marker = requirement.partition(";")
        if "extra" in marker or "python_version" in marker or "platform" in marker:
            continue
        assert _normalized(name) in listed | unused | BUILD_ONLY


def _normalized(requirement):
    name = requirement.strip()
    for end in " <>=!~[(":
        name = name.partition(end)[0]
    return name.lower().replace("_", "-").replace(".", "-")
