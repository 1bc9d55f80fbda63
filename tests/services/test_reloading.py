"""Settings that change while the daemon runs."""

import pytest
import structlog

from chicorychute.conf.settings import read_settings
from chicorychute.services.reloading import SettingsWatch

TEXT = """
[instance]
id = i1
zone = z1
region = r1
[platform]
backend = none
[upstream:u1]
service = orders
url = http://127.0.0.1:9001
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "daemon.ini"
    path.write_text(TEXT)
    return path


@pytest.fixture
def taken():
    return []


@pytest.fixture
def watch(path, taken):
    def apply(settings):
        taken.append(settings)
        return frozenset({"upstream"})

    return SettingsWatch(path, read_settings(path).ok_value, apply)


def test_change_without_a_signal_is_taken_once(watch, path, taken):
    watch.poll()
    assert taken == []
    path.write_text(TEXT.replace("orders", "stock"))
    watch.poll()
    watch.poll()
    assert [settings.upstreams[0].service for settings in taken] == ["stock"]


def test_signal_reads_them_in_any_case(watch, taken):
    watch.on_signal()
    assert len(taken) == 1


def test_line_tells_what_is_in_force_and_what_waits(watch, path):
    text = TEXT.replace("orders", "stock").replace("zone = z1", "zone = z2")
    path.write_text(text)
    with structlog.testing.capture_logs() as lines:
        watch.on_signal()
    (line,) = lines
    assert (line["in_force"], line["at_next_start"]) == (
        ["upstream"],
        ["instance.zone"],
    )


@pytest.mark.parametrize("text", ["", "[instance]\nid = ?\n", "no ini"])
def test_faulty_file_changes_nothing(watch, path, taken, text):
    path.write_text(text)
    with structlog.testing.capture_logs() as lines:
        watch.poll()
    assert taken == []
    assert lines[0]["faults"]


def test_file_that_is_gone_for_a_moment_changes_nothing(watch, path, taken):
    path.unlink()
    watch.poll()
    path.write_text(TEXT)
    watch.poll()
    assert taken == []
