#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs and need no build; this checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c '
import pathlib, sys
for folder in ("review", "platform/standin"):
    for path in sorted(pathlib.Path(folder).rglob("*.py")):
        compile(path.read_text(), str(path), "exec")
'
