"""Settings that change while the daemon runs.

Guards against changes that are missed or applied twice, and against a faulty or missing
file that replaces good settings.
"""

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
def applied():
    return []


@pytest.fixture
def watch(path, applied):
    def apply(settings):
        applied.append(settings)
        return frozenset({"upstream"})

    return SettingsWatch(path, read_settings(path).ok_value, apply)


def test_change_without_a_signal_is_applied_once(watch, path, applied):
    watch.poll()
    assert applied == []
    path.write_text(TEXT.replace("orders", "stock"))
    watch.poll()
    watch.poll()
    assert [settings.upstreams[0].service for settings in applied] == ["stock"]


def test_signal_reads_the_settings_even_if_unchanged(watch, applied):
    watch.on_signal()
    assert len(applied) == 1


def test_log_line_names_the_keys_in_force_and_those_that_wait(watch, path):
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
def test_faulty_file_changes_nothing(watch, path, applied, text):
    path.write_text(text)
    with structlog.testing.capture_logs() as lines:
        watch.poll()
    assert applied == []
    assert lines[0]["faults"]


def test_file_that_is_briefly_missing_changes_nothing(watch, path, applied):
    path.unlink()
    watch.poll()
    path.write_text(TEXT)
    watch.poll()
    assert applied == []
