# Runs the program of a case: run_case FOLDER PROGRAM TROUBLE. Without the disruption if TROUBLE is 0. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
run_case() {
    local folder=$1 program=$2 trouble=$3 root work status=0
    root=$(cd "$folder/../.." && pwd)
    cd "$root"
    if [ ! -x target/src/guavaspan ] || [ ! -x "target/review-2/$program" ]; then
        echo "build the deploy file's program and run review/build-2.sh first" >&2
        exit 2
    fi
    work=$(mktemp -d)
    : >"$folder/record.txt"
    timeout -k 5 110 "target/review-2/$program" --trouble "$trouble" --support "$root/target/review-2" --program "$root/target/src/guavaspan" --folder "$work" --record "$folder/record.txt" || status=$?
    if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $work" >&2; else rm -rf "$work"; fi
    tail -n 1 "$folder/record.txt"
    case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
}
