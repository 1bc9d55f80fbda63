#!/bin/sh
# Checks the stand-ins of the second review; they are Python and need no build.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/second review/6 review/7 review/8 review/9
