#!/bin/sh
# The stand-ins are Python and need no build; check that they load after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=src:target/deps:review PYTHONDONTWRITEBYTECODE=1 exec python3 -c "
import hickorybeam.standins.keyvalue, hickorybeam.standins.server, stage
"
