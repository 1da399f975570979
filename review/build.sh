#!/usr/bin/env bash
# Builds the stand-ins of the cases. They have no dependencies; no network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --offline --locked
