#!/bin/sh
# Runs the case of this folder; see claim.txt. Writes what was sent, answered and run to record.txt beside this script.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$folder/record.txt
: >"$record" || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/release/sorrelhaven ]; then
    echo "COULD NOT RUN: build with the command of the deploy file and review/build-2.sh first" | tee "$record"
    exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
# The program writes the record while it runs, and prints its verdict.
verdict=$("$program" "$record" "$temp")
status=$?
echo "$verdict"
case $status in 0 | 1) exit $status ;; esac
echo "$verdict" >>"$record"
exit 2
