#!/usr/bin/env bash
# What the scripts of cases 6 to 10 share: case-2.sh CASE RECORD runs one case in a temporary folder, with the deploy
# file's command for the mixer, writes RECORD, and ends every process that it started. Needs the build of the deploy
# file and review/build-2.sh.
set -uo pipefail
case_name=$1 record=$2
: > "$record" || exit 2
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
program=review/standins-2/target/release/case-2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -x "$program" ] && [ -x target/release/fernglade-mixer ] && [ -n "$RUN" ] || {
    echo "not built: run the deploy file's build and review/build-2.sh" | tee -a "$record" >&2
    exit 2
}
FOLDER=$(mktemp -d) || exit 2
export RUN FOLDER RECORD="$record"
# A session of its own, by which all that it starts is found and ended.
setsid --wait timeout -s KILL 116 "$program" "$case_name" &
session=$!
trap 'pkill -KILL -s "$session" 2>/dev/null; rm -rf "$FOLDER"' EXIT
wait "$session"
code=$?
case $code in 0 | 1 | 2) exit "$code" ;; *) exit 2 ;; esac
