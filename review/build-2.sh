#!/bin/sh
# Builds the stand-ins of the cases 6 and later. They are Python programs, as is the store's stand-in that they use
# (platform/standin/store.py), so that it only has to be checked that each one compiles.
cd "$(dirname "$0")/.." || exit 1
exec python3 - platform/standin/*.py review/common-2/*.py review/[678]/*.py <<'PROGRAM'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
