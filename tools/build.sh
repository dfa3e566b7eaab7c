#!/usr/bin/env bash
# Configures and builds into the folder given as first argument; further arguments are passed to cmake.
# CRANKSPUR_TARGET: the target to build; default: all.
# Uses ccache if it is installed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
launcher=()
if command -v ccache >/dev/null; then
  launcher=(-DCMAKE_C_COMPILER_LAUNCHER=ccache -DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$build" -G Ninja "${launcher[@]}" "$@" >"$build.configure.log" 2>&1 || { cat "$build.configure.log"; exit 1; }
rm -f "$build.configure.log"
log="$build/build.log"
ninja -C "$build" "${CRANKSPUR_TARGET:-all}" >"$log" 2>&1 || { tail -n 100 "$log"; exit 1; }
tail -n 1 "$log"
