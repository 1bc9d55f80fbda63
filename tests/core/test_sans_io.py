"""Guards against I/O, threads and clocks in the packages that take decisions.

Such an import, direct or through another module of the product, would make the
decisions depend on more than their arguments, so that a replay could not repeat
them.
"""

import ast
from pathlib import Path

import pytest

import chicorychute

ROOT = Path(chicorychute.__file__).parent
DECISION_PACKAGES = (
    "admission",
    "health",
    "membership",
    "orders",
    "replay",
    "routing",
    "table",
)
FORBIDDEN_MODULES = {
    "asyncio",
    "cheroot",
    "cherrypy",
    "concurrent",
    "http",
    "opentelemetry",
    "os",
    "queue",
    "select",
    "selectors",
    "socket",
    "ssl",
    "structlog",
    "subprocess",
    "threading",
    "time",
    "urllib3",
    "websockets",
}


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def source_of(module):
    path = ROOT.parent / Path(*module.split("."))
    for candidate in (path.with_suffix(".py"), path / "__init__.py"):
        if candidate.is_file():
            return candidate
    return None


def forbidden_imports(path, seen=None):
    seen = set() if seen is None else seen
    if path in seen:
        return set()
    seen.add(path)
    found = set()
    for module in imported_modules(path):
        if module.split(".")[0] in FORBIDDEN_MODULES:
            found.add(f"{path.relative_to(ROOT)} imports {module}")
        elif module.startswith("chicorychute.") and source_of(module):
            found |= forbidden_imports(source_of(module), seen)
    return found


@pytest.mark.parametrize("package", DECISION_PACKAGES)
def test_decision_package_imports_no_io(package):
    modules = sorted((ROOT / package).glob("*.py"))
    assert modules
    assert set().union(*map(forbidden_imports, modules)) == set()


def test_indirect_import_is_found():
    assert forbidden_imports(ROOT / "services" / "gate.py")
