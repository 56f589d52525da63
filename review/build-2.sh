#!/bin/sh
# Builds the programs of the cases 6 to 10, with their stand-ins, from review/stand-2 and review/N. Needs the Rust
# compiler only: no package, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/case.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
