#!/usr/bin/env bash
# Runs tests of a sanitized build. Fails on a sanitizer report of any process, including those whose exit status no test
# checks: tests kill processes and let others take over.
# Tests listed in KNOWN-RED.txt are printed and not run.
# Usage: tools/sanitized_tests.sh BUILD_FOLDER TEST_REGEX
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/known_red.sh
build=$1
tests=$2
reports="$PWD/$build/sanitizer_reports"
rm -rf "$reports"
mkdir -p "$reports"
export ASAN_OPTIONS="log_path=$reports/address"
export UBSAN_OPTIONS="log_path=$reports/undefined:print_stacktrace=1"
export TSAN_OPTIONS="log_path=$reports/thread"
status=0
exclude_known_red "$build"
ctest --test-dir "$build" --parallel 6 --output-on-failure --no-tests=error -R "$tests" "${exclude[@]}" || status=$?
if [ -n "$(ls -A "$reports")" ]; then
  echo "sanitizer reports:"
  head -n 60 "$reports"/*
  exit 1
fi
exit "$status"
