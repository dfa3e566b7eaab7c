#!/usr/bin/env bash
# Runs tests of a sanitized build. A report of any process fails them, also of one whose end no test looks at:
# processes are killed in tests, and others take over their work.
# Tests listed in KNOWN-RED.txt are printed, not run.
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
pass_over_known_red "$build"
ctest --test-dir "$build" --parallel 6 --output-on-failure --no-tests=error -R "$tests" "${exclude[@]}" || status=$?
if [ -n "$(ls -A "$reports")" ]; then
  echo "sanitizer reports:"
  head -n 60 "$reports"/*
  exit 1
fi
exit "$status"
