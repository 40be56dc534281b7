#!/usr/bin/env bash
# Runs the case of this folder: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Build first: the deploy file's build, then review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export RECORD_FILE="$folder/record.txt"
program=${REVIEW_BUILD:-review/.build}/scenario-$(basename "$folder")
[ -x "$program" ] && [ -x target/pimentoshed ] || exit 2
timeout -s TERM 118 "$program"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
