#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the store stays up, no VM is cut off and none is killed.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
line=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
[ -x "$root/target/review-standins-2" ] && [ -x "$root/${line%% *}" ] || { echo "build first"; exit 2; }
ROOT=$root RUN_LINE=$line RECORD=$here/record.txt exec "$root/target/review-standins-2" forgotten
