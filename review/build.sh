#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases, with the standard library alone, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/case.rs; do
    number=${case%%/*}
    rustc --edition 2024 -O -o "bin/case$number" "$case"
done
