"""Packs the product and its pinned libraries into a single executable file.

The libraries come from the environment that runs the build, where ``make setup``
installed them, so a build needs no network. The file contains compiled bytecode.
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
SHEBANG = f"#!/usr/bin/env python{sys.version_info[0]}.{sys.version_info[1]}\n"
MAIN_SOURCE = """\
import sys

from bootstrap import start

sys.exit(start(sys.path[0]))
"""
EXCLUDED_PATTERNS = (
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
INCLUDED_METADATA = re.compile(r"[^/]+\.dist-info/(METADATA|entry_points\.txt)")


@attrs.frozen
class ArchiveFile:
    """One file of the archive: its path inside it and its source."""

    name: str
    path: Path


class BuildError(Exception):
    """A library is missing from the environment or differs from its pinned version."""


def main(arguments: list[str]) -> int:
    """Build the file; return the exit code."""
    parser = argparse.ArgumentParser(prog="release.build", description=__doc__)
    parser.add_argument("output", type=Path)
    parser.add_argument("--optimize", type=int, default=0, choices=(0, 1, 2))
    parser.add_argument("--stored", action="store_true", help="do not compress")
    options = parser.parse_args(arguments)
    try:
        archive_files = [*product_files(), *library_files()]
    except BuildError as error:
        print(f"release: {error}", file=sys.stderr)
        return 1
    data = pack(archive_files, options.optimize, not options.stored)
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_bytes(SHEBANG.encode() + data)
    mode = options.output.stat().st_mode
    options.output.chmod(mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)
    print(f"{options.output}: {options.output.stat().st_size} bytes")
    return 0


def product_files() -> Iterator[ArchiveFile]:
    """Yield the modules of the product and the bootstrap."""
    yield ArchiveFile("bootstrap.py", ROOT / "release" / "bootstrap.py")
    for path in sorted((ROOT / "chicorychute").rglob("*.py")):
        yield ArchiveFile(path.relative_to(ROOT).as_posix(), path)


def library_files() -> Iterator[ArchiveFile]:
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
            raise BuildError(
                f"{name} {library.version} is installed instead of {version}:"
                " run make setup"
            )
        for packaged in library.files or ():
            archive_path = packaged.as_posix()
            if _is_included(archive_path):
                yield ArchiveFile(archive_path, Path(library.locate_file(packaged)))


def _is_included(archive_path: str) -> bool:
    if any(fnmatch.fnmatch(archive_path, pattern) for pattern in EXCLUDED_PATTERNS):
        return False
    if ".dist-info/" in archive_path:
        return INCLUDED_METADATA.fullmatch(archive_path) is not None
    return not archive_path.endswith(".pyc")


def pack(archive_files: list[ArchiveFile], optimize: int, compress: bool) -> bytes:
    """Return the zip archive as bytes."""
    compression = zipfile.ZIP_DEFLATED if compress else zipfile.ZIP_STORED
    modules = {}
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w", compression) as archive:
        _write(archive, "__main__.py", MAIN_SOURCE.encode(), compression)
        for directory in _directories(archive_files):
            _write(archive, directory, b"", zipfile.ZIP_STORED)
        for file in sorted(archive_files, key=lambda file: file.name):
            if file.name.endswith(".py"):
                code = _compile(file, optimize)
                _write(archive, file.name + "c", code, compression)
                continue
            if file.name.endswith(EXTENSION_SUFFIX):
                modules[_module_name(file.name)] = file.name
            _write(archive, file.name, file.path.read_bytes(), compression)
        extensions = {"python": list(sys.version_info[:2]), "modules": modules}
        _write(archive, "extensions.json", json.dumps(extensions).encode(), compression)
    return buffer.getvalue()


def _directories(archive_files: list[ArchiveFile]) -> list[str]:
    """Return every directory: zipimport finds namespace packages only by these."""
    directories = {
        f"{parent.as_posix()}/"
        for file in archive_files
        for parent in PurePosixPath(file.name).parents
        if parent.name
    }
    return sorted(directories)


def _compile(file: ArchiveFile, optimize: int) -> bytes:
    with tempfile.TemporaryDirectory() as directory:
        output = Path(directory) / "module.pyc"
        py_compile.compile(
            str(file.path),
            str(output),
            dfile=file.name,
            doraise=True,
            optimize=optimize,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        return output.read_bytes()


def _module_name(archive_path: str) -> str:
    return archive_path.partition(".")[0].replace("/", ".")


def _write(archive: zipfile.ZipFile, name: str, data: bytes, compression: int) -> None:
    archive.writestr(zipfile.ZipInfo(name), data, compression)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
