#!/usr/bin/env bash
# Runs the case (see claim.txt) and writes record.txt. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/case$(basename "$folder")"
[ -x "$program" ] && [ -x "$root/target/apps/papayafieldd/papayafieldd" ] || exit 2
"$program" "$root" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
