#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case3 ] && [ -x ../../target/release/sorrelhaven ] || { echo "build the project and run review/build.sh first"; exit 2; }
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
trap 'rm -rf "$REVIEW_TMP"' EXIT
timeout -k 2 115 ../bin/case3 record.txt &
test=$!
trap 'kill "$test" 2>/dev/null; wait "$test"; exit 2' INT TERM
wait "$test"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
