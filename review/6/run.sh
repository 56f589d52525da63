#!/bin/sh
# Runs the case of this folder; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves out the disruption.
number=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/release/sorrelhaven ]; then
    echo "COULD NOT RUN: build with the command of the deploy file and review/build-2.sh first"
    exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
"$program" "review/$number" "$temp"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
