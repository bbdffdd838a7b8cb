#!/usr/bin/env bash
# run-case.sh CASE FOLDER TROUBLE: runs one case of the stand-ins and writes FOLDER/record.txt. TROUBLE 0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(realpath "$2")
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/src/guavaspan
rig=$PWD/target/review-3/rig
if [ ! -x "$program" ] || [ ! -x "$rig" ]; then
    echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
    exit 2
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
rm -f "$folder/record.txt"
timeout -k 2 110 "$rig" "$1" --program "$program" --rig "$rig" --folder "$work" --record "$folder/record.txt" --trouble "$3"
status=$?
[ "$status" -le 1 ] || status=2
tail -n 2 "$folder/record.txt" 2>/dev/null
exit "$status"
