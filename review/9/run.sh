#!/bin/sh
# Plays the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. exec python3 review/9/case.py
