#!/bin/sh
# Runs one case: case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/.." || exit 2
for program in target/hawthorn target/review-rig; do
	[ -x "$program" ] || { echo "$program is missing; build it first" >&2; exit 2; }
done
RECORD="$2/record.txt" TROUBLE="${TROUBLE:-1}" exec target/review-rig "$1"
