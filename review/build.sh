#!/usr/bin/env bash
# The stand-ins are Python and need no build; this compiles them to find errors early.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
