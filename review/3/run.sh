#!/usr/bin/env bash
# Writes record.txt beside this file. With TROUBLE=0 the disruption is left out.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
exec python3 review/3/case.py review/3/record.txt
