#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They need nothing but the standard library, and no network. The mixer comes
# from the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standins-2"
exec cargo build --release --locked --offline
