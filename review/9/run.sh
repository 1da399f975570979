#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../case-2.sh" "$here" backlog
