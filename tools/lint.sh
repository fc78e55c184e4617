#!/bin/bash
# Checks the formatting of all source files and runs the linter on them.
#   lint.sh BUILD_DIR
set -euo pipefail

Build=${1:-build}
cd "$(dirname "$0")/.."

mapfile -t Sources < <(git ls-files -co --exclude-standard '*.cpp' '*.h')
clang-format-14 --dry-run -Werror "${Sources[@]}"
echo "format: clean"

# RpcCodec.cpp includes headers that are not valid in C++17 or later. The linter
# takes its language standard, C++14, from the compilation database.
printf '%s\n' "${Sources[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -n 2 clang-tidy-16 -p "$Build" --quiet 2>/dev/null
echo "linter: clean"
