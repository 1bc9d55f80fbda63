"""Guards against a daemon that starts with settings other than those intended.

Misspelled keys, values out of range and damaged files are refused. Each fault is one
line with the file, section, key and value.
"""

import pytest

from chicorychute.conf.settings import read_settings

VALID_SETTINGS = """
[instance]
id = counter-1
zone = bagmati-a
region = bagmati
[platform]
url = http://127.0.0.1:9000/
[upstream:orders-1]
service = orders
url = http://127.0.0.1:9001
"""


@pytest.fixture
def read(tmp_path):
    path = tmp_path / "daemon.ini"

    def write_and_read(content):
        data = content if isinstance(content, bytes) else content.encode()
        path.write_bytes(data)
        return read_settings(path)

    return write_and_read


def test_valid_file_is_read_with_its_defaults(read):
    settings = read(VALID_SETTINGS).ok_value
    assert settings.get("edge", "port") == 8080
    assert settings.get("platform", "url") == "http://127.0.0.1:9000"
    assert settings.upstreams[0].url == "http://127.0.0.1:9001"


def test_byte_order_mark_and_crlf_are_accepted(read):
    assert read(b"\xef\xbb\xbf" + VALID_SETTINGS.replace("\n", "\r\n").encode()).is_ok()


def with_line(section, line):
    return VALID_SETTINGS + f"[{section}]\n{line}\n"


FAULTS = {
    "unknown-section": (with_line("egde", "port = 1"), "[egde]"),
    "default-section": (with_line("DEFAULT", "port = 1"), "[DEFAULT]"),
    "unknown-key": (with_line("edge", "prot = 1"), "[edge] prot: '1'"),
    "port-range": (with_line("edge", "port = 70000"), "[edge] port: '70000'"),
    "port-text": (with_line("edge", "port = http"), "[edge] port: 'http'"),
    "port-grouped": (with_line("edge", "port = 8_080"), "[edge] port: '8_080'"),
    "port-empty": (with_line("edge", "port ="), "[edge] port"),
    "nan": (with_line("gossip", "interval_s = nan"), "[gossip] interval_s: 'nan'"),
    "infinite": (with_line("gossip", "interval_s = inf"), "[gossip] interval_s"),
    "level": (with_line("log", "level = loud"), "[log] level: 'loud'"),
    "ratio": (with_line("trace", "ratio = 2"), "[trace] ratio: '2'"),
    "host": (with_line("edge", "host = a b"), "[edge] host: 'a b'"),
    "wildcard-peer": (with_line("peer", "host = 0.0.0.0"), "[peer] host"),
    "seeds": (with_line("peer", "seeds = somewhere"), "[peer] seeds: 'somewhere'"),
    "instance-name": (
        VALID_SETTINGS.replace("counter-1", "a@b/c"),
        "[instance] id: 'a@b/c'",
    ),
    "missing-key": (
        VALID_SETTINGS.replace("zone = bagmati-a\n", ""),
        "[instance] zone",
    ),
    "missing-section": (
        VALID_SETTINGS.partition("[upstream")[0],
        "[upstream:ID]: is missing",
    ),
    "unnamed-upstream": (
        VALID_SETTINGS.replace("[upstream:orders-1]", "[upstream:]"),
        "[upst",
    ),
    "url-scheme": (
        VALID_SETTINGS.replace("http://127.0.0.1:9001", "ftp://a"),
        "url: 'ftp://a'",
    ),
    "url-bare": (
        VALID_SETTINGS.replace("http://127.0.0.1:9001", "localhost:1"),
        "url: 'local",
    ),
    "url-port": (VALID_SETTINGS.replace(":9001", ":99999"), "[upstream:orders-1] url"),
    "url-path": (VALID_SETTINGS.replace(":9001", ":9001/a"), "[upstream:orders-1] url"),
    "url-user": (
        VALID_SETTINGS.replace("//127.0.0.1:9001", "//u:p@a"),
        "[upstream:orders-1]",
    ),
    "platform-url": (
        VALID_SETTINGS.replace("url = http://127.0.0.1:9000/\n", ""),
        "[platform] url: is missing, and backend is http",
    ),
    "same-port": (
        with_line("peer", "port = 8080"),
        "[peer] port: '8080' is already used by [edge]",
    ),
    "same-upstream": (
        with_line("upstream:o2", "service = orders\nurl = http://127.0.0.1:9001"),
        "[upstream:o2] url",
    ),
    "own-address": (
        VALID_SETTINGS.replace(":9001", ":8080"),
        "address of the daemon itself",
    ),
    "repeated-key": (
        with_line("edge", "port = 1\nport = 2"),
        "[edge] port: appears twice (line 13)",
    ),
    "repeated-section": (
        VALID_SETTINGS + "[instance]\nid = a\n",
        "[instance]: appears twice",
    ),
    "no-section": ("id = a\n", "can't be read"),
    "not-utf-8": (VALID_SETTINGS.encode() + b"# \xff\n", "can't be read"),
    "binary": (b"\x00\x01\x02", "can't be read"),
}


@pytest.mark.parametrize(("content", "expected"), FAULTS.values(), ids=FAULTS)
def test_fault_is_one_line_with_file_and_setting(read, content, expected):
    faults = [str(fault) for fault in read(content).err_value]
    assert len(faults) == 1
    (line,) = faults
    assert "\n" not in line
    assert "daemon.ini" in line
    assert expected in line


def test_unreadable_path_is_in_the_fault(tmp_path):
    for path in (tmp_path / "none.ini", tmp_path):
        (fault,) = read_settings(path).err_value
        assert str(path) in str(fault)


def test_all_faults_are_reported_at_once_and_in_order(read):
    content = (
        VALID_SETTINGS.replace("counter-1", "")
        + "[edge]\nport = x\nprot = 1\n[log]\na = b\n"
    )
    faults = [str(fault) for fault in read(content).err_value]
    assert len(faults) == 4
    assert [fault.split(": ")[2] for fault in faults] == [
        "[instance] id",
        "[edge] prot",
        "[edge] port",
        "[log] a",
    ]
