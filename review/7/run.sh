#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../support-2/case.sh"
run_case "$folder" plannedstop "${TROUBLE:-1}"
