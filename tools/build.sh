#!/usr/bin/env bash
# Configures and builds into the folder named by the first argument; further arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
cmake -S . -B "$build" -G Ninja "$@" >"$build.configure.log" 2>&1 || { cat "$build.configure.log"; exit 1; }
rm -f "$build.configure.log"
ninja -C "$build" | tail -n 3
