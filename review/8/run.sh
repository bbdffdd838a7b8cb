#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../support-2/case.sh"
run_case "$folder" streamdeadline
