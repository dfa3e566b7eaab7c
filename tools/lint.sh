#!/usr/bin/env bash
# Formatter and linter over the project's own files; any finding fails. Generated files are left out.
# Usage: tools/lint.sh BUILD_FOLDER (needs compile_commands.json there)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(git ls-files '*.h' '*.cc')
clang-format-14 --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files 'src/*.cc' 'apps/*.cc' 'standins/*.cc' 'sim/*.cc' 'tools/*.cc')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy-14 --quiet -p "$build" \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null | tee "$build/lint.log" |
  grep -E 'warning:|error:' && { echo "clang-tidy found the places above"; exit 1; }
echo "format and lint clean: ${#files[@]} files"
