#!/usr/bin/env bash
# Runs one of the further programs that REPORT.md names: further/run.sh memory|slow_discovery|leave|older_list. They
# are no cases of the review. Exit codes, record.txt and TROUBLE=0 as in the cases.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
. "$here/../case.sh"
run_case "$1" "$here/record.txt"
