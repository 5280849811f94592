#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=src:target/deps PYTHONDONTWRITEBYTECODE=1 timeout -k 5 115 python3 review/3/case.py
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
