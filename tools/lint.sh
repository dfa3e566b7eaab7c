#!/usr/bin/env bash
# Checks formatting and runs clang-tidy on the project's sources, without generated files; fails on any finding.
# Usage: tools/lint.sh BUILD_FOLDER (must contain compile_commands.json)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(git ls-files '*.h' '*.cc')
mapfile -t sources < <(git ls-files 'src/*.cc' 'platform/*.cc' 'apps/*.cc' 'standins/*.cc' 'sim/*.cc' 'tools/*.cc')
if [ "${#sources[@]}" -eq 0 ] || [ ! -s "$build/compile_commands.json" ]; then
  echo "nothing to lint: not a git checkout, or no compile_commands.json in $build"
  exit 1
fi
clang-format-14 --dry-run --Werror "${files[@]}"
status=0
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy-14 --quiet -p "$build" \
    --extra-arg=-Wno-unknown-warning-option >"$build/lint.log" 2>"$build/lint.errors.log" || status=$?
# A linter that is missing, crashes or cannot read its configuration reports no findings but a nonzero status.
if grep -E 'warning:|error:' "$build/lint.log" || [ "$status" -ne 0 ]; then
  grep -v 'warnings generated' "$build/lint.errors.log" | tail -n 20 || true
  echo "clang-tidy: status $status, findings above"
  exit 1
fi
echo "format and lint clean: ${#files[@]} files"
