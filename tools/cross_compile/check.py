#!/usr/bin/env python3
"""Fails when a source does not compile, or compiles with warnings, for the supported processor that this machine lacks.

Repeats each command of a configured build folder with the cross compiler of that processor, with the same optimization
and warnings. Nothing is linked or run, and no library of that processor is needed. Exit status: 0 no findings, 1 findings,
2 the check itself could not run.

Usage: tools/cross_compile/check.py BUILD_FOLDER [--processor=x86_64|aarch64]
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path

from cross_compiler import TRIPLETS, CrossCompileError, CrossCompiler, Outcome, other_processor, read_strict_commands

#: Lines of a compiler's output that are printed for each source.
MAX_LINES = 60


def check_build(build: Path, processor: str) -> list[Outcome]:
    """Compiles all sources of a build folder for a processor and returns the outcomes."""
    commands = read_strict_commands(build)
    with tempfile.TemporaryDirectory(prefix="cross-compile-") as objects:
        return CrossCompiler(processor, build, Path(objects)).compile_all(commands)


def print_failure(outcome: Outcome) -> None:
    print(f"cross compile check: {outcome.source}:")
    print("\n".join(outcome.diagnostics.splitlines()[:MAX_LINES]))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("build", type=Path, help="a configured build folder")
    parser.add_argument("--processor", choices=sorted(TRIPLETS), help="default: the one that this machine lacks")
    arguments = parser.parse_args()
    started = time.monotonic()
    try:
        processor = arguments.processor or other_processor()
        outcomes = check_build(arguments.build, processor)
    except (CrossCompileError, OSError) as error:
        print(f"cross compile check could not run: {error}")
        return 2
    failures = [outcome for outcome in outcomes if not outcome.succeeded]
    for failure in failures:
        print_failure(failure)
    print(f"cross compile check: {len(outcomes) - len(failures)} of {len(outcomes)} sources compile for {processor} without "
          f"warnings ({time.monotonic() - started:.0f} s)")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
