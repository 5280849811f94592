#!/bin/sh
# Builds what the scripts of the second review start beside the daemons: nothing but Python files,
# which are checked here. Run it after the build of the deploy file, whose packages they use.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for file in review/stage_2.py review/engine_2.py review/[4-8]/case.py; do
    PYTHONPATH=src:target/deps python3 -c '
import py_compile, sys
py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)
' "$file" "target/review-2/$(echo "$file" | tr / -)c"
done
PYTHONPATH=src:target/deps:review python3 -B -c 'import stage_2, engine_2'
