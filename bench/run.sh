#!/bin/bash
# Runs every benchmark and plots the results.
#   run.sh BUILD_DIR
set -euo pipefail

cd "$(dirname "$0")/.."
Build=${1:-build}
export HEMLOCKSPAR_BIN="$PWD/$Build"

for Bench in member_bench placement_bench scale_bench recovery_bench \
  request_bench queue_bench; do
  echo "== $Bench"
  "$Build/bench/$Bench" >/dev/null
done
bench/plot.sh
