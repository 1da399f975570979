#!/usr/bin/env bash
# Runs one of the further programs that REPORT.md names: further/run.sh memory|slow_discovery|leave|older_list. They are no
# cases of the review. Exit codes and TROUBLE=0 as in the cases.
. "$(dirname "$0")/../case.sh"
run_case "$1"
