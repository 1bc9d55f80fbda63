#!/bin/sh
# Plays the case and writes record.txt; see claim.txt. TROUBLE=0 leaves the disruption
# out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
PYTHONPATH=. exec python3 review/6/case.py review/6/record.txt
