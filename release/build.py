"""Packs the product and its pinned libraries into one executable file.

Takes the libraries from the environment that runs it, where ``make setup`` has
installed them, so a build needs no network. The file holds compiled bytecode.
"""

import argparse
import fnmatch
import importlib.metadata
import io
import json
import py_compile
import re
import stat
import sys
import tempfile
import zipfile
from collections.abc import Iterator
from pathlib import Path, PurePosixPath

import attrs

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "requirements" / "run.txt"
EXTENSION_SUFFIX = ".so"
INTERPRETER = f"#!/usr/bin/env python{sys.version_info[0]}.{sys.version_info[1]}\n"
MAIN = """\
import sys

from bootstrap import start

sys.exit(start(sys.path[0]))
"""
EXCLUDED = (
    "*/__pycache__/*",
    "*/test/*",
    "*/tests/*",
    "*.pyi",
    "*.c",
    "*.h",
    "*/py.typed",
    "../*",
    "cherrypy/tutorial/*",
    "cherrypy/scaffold/*",
    "cherrypy/daemon.py",
    "dateutil/zoneinfo/*",
    "websockets/asyncio/*",
    "websockets/legacy/*",
    "websockets/sync/*",
    "websockets/trio/*",
)
METADATA = re.compile(r"[^/]+\.dist-info/(METADATA|entry_points\.txt)")


@attrs.frozen
class Item:
    """One file of the archive."""

    name: str
    path: Path


class BuildError(Exception):
    """The environment does not hold what the requirements pin."""


def main(arguments: list[str]) -> int:
    """Build the file; returns the exit code."""
    parser = argparse.ArgumentParser(prog="release.build", description=__doc__)
    parser.add_argument("output", type=Path)
    parser.add_argument("--optimize", type=int, default=0, choices=(0, 1, 2))
    parser.add_argument("--stored", action="store_true", help="do not compress")
    options = parser.parse_args(arguments)
    try:
        items = [*product_items(), *library_items()]
    except BuildError as error:
        print(f"release: {error}", file=sys.stderr)
        return 1
    data = pack(items, options.optimize, not options.stored)
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_bytes(INTERPRETER.encode() + data)
    mode = options.output.stat().st_mode
    options.output.chmod(mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    print(f"{options.output}: {options.output.stat().st_size} bytes")
    return 0


def product_items() -> Iterator[Item]:
    """Yield the modules of the product and the bootstrap."""
    yield Item("bootstrap.py", ROOT / "release" / "bootstrap.py")
    for path in sorted((ROOT / "chicorychute").rglob("*.py")):
        yield Item(path.relative_to(ROOT).as_posix(), path)


def library_items() -> Iterator[Item]:
    """Yield the files of the pinned libraries that a daemon may need.

    Raises
    ------
    BuildError
        If a library is not installed as pinned.
    """
    for line in REQUIREMENTS.read_text("utf-8").splitlines():
        name, _, version = line.strip().partition("==")
        if not version:
            continue
        try:
            library = importlib.metadata.distribution(name)
        except importlib.metadata.PackageNotFoundError as error:
            raise BuildError(f"{name} is not installed: run make setup") from error
        if library.version != version:
            raise BuildError(f"{name} is {library.version}, not {version}: make setup")
        for file in library.files or ():
            inner = file.as_posix()
            if _is_kept(inner):
                yield Item(inner, Path(library.locate_file(file)))


def _is_kept(inner: str) -> bool:
    if any(fnmatch.fnmatch(inner, pattern) for pattern in EXCLUDED):
        return False
    if ".dist-info/" in inner:
        return METADATA.fullmatch(inner) is not None
    return not inner.endswith(".pyc")


def pack(items: list[Item], optimize: int, compress: bool) -> bytes:
    """Return the archive."""
    method = zipfile.ZIP_DEFLATED if compress else zipfile.ZIP_STORED
    modules = {}
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w", method) as archive:
        _write(archive, "__main__.py", MAIN.encode(), method)
        for directory in _directories(items):
            _write(archive, directory, b"", zipfile.ZIP_STORED)
        for item in sorted(items, key=lambda item: item.name):
            if item.name.endswith(".py"):
                code = _compile(item, optimize)
                _write(archive, item.name + "c", code, method)
                continue
            if item.name.endswith(EXTENSION_SUFFIX):
                modules[_module_name(item.name)] = item.name
            _write(archive, item.name, item.path.read_bytes(), method)
        found = {"python": list(sys.version_info[:2]), "modules": modules}
        _write(archive, "extensions.json", json.dumps(found).encode(), method)
    return buffer.getvalue()


def _directories(items: list[Item]) -> list[str]:
    """Return every directory; packages without __init__ are found only by these."""
    found = {
        f"{parent.as_posix()}/"
        for item in items
        for parent in PurePosixPath(item.name).parents
        if parent.name
    }
    return sorted(found)


def _compile(item: Item, optimize: int) -> bytes:
    with tempfile.TemporaryDirectory() as directory:
        output = Path(directory) / "module.pyc"
        py_compile.compile(
            str(item.path),
            str(output),
            dfile=item.name,
            doraise=True,
            optimize=optimize,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        return output.read_bytes()


def _module_name(inner: str) -> str:
    return inner.partition(".")[0].replace("/", ".")


def _write(archive: zipfile.ZipFile, name: str, data: bytes, method: int) -> None:
    archive.writestr(zipfile.ZipInfo(name), data, method)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
