#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../build/review/case5 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec timeout -k 5 110 ../../build/review/case5 ../../target/src/guavaspan .
