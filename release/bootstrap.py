"""Start-up module of the single-file release: loads extension modules from memory.

The C library can't load an extension module from within a zip archive, so each is
copied to an anonymous file in memory. Nothing is unpacked to disk.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import json
import os
import sys
import zipimport

EXTENSIONS_NAME = "extensions.json"
EXIT_FAILED = 1


class MemoryExtensionFinder(importlib.abc.MetaPathFinder):
    """Finds the extension modules of an archive.

    Parameters
    ----------
    archive : zipimport.zipimporter
        Archive of the single-file release.
    path_by_name : dict
        Path inside the archive by the module's full name.
    """

    def __init__(self, archive: zipimport.zipimporter, path_by_name: dict[str, str]):
        self._archive = archive
        self._path_by_name = path_by_name

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module, loaded from memory."""
        archive_path = self._path_by_name.get(fullname)
        if archive_path is None:
            return None
        data = self._archive.get_data(archive_path)
        # The descriptor stays open: the C library identifies a library by its path, so
        # a second one that reused the number would be mistaken for the first.
        descriptor = os.memfd_create(fullname, os.MFD_CLOEXEC)
        with open(descriptor, "wb", closefd=False) as file:
            file.write(data)
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname, location, loader=loader)


def start(program_path: str) -> int:
    """Run the command line from the archive; return its exit code."""
    archive = zipimport.zipimporter(program_path)
    extensions = json.loads(archive.get_data(EXTENSIONS_NAME))
    required_version = extensions["python"]
    running_version = list(sys.version_info[:2])
    if running_version != required_version:
        version_text = ".".join(map(str, required_version))
        print(
            f"chicorychute: this file runs on Python {version_text}: start it with"
            f" python{version_text}, or build it for this one with make dist",
            file=sys.stderr,
        )
        return EXIT_FAILED
    sys.meta_path.insert(0, MemoryExtensionFinder(archive, extensions["modules"]))
    from chicorychute.core.management import main

    return main(sys.argv[1:])
