#!/usr/bin/env bash
# Prepares the stand-ins of the second review's scripts (cases 6 to 10), after the build
# of the deploy file. They are Python files that use the libraries in target/deps and the
# project's own store stand-in in tools/, so nothing is compiled: this checks that all of
# it can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run deploy/build first" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:tools:review/lib2 \
    python3 -c 'import world'
