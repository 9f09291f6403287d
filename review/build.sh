#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start: Python sources, which need
# the libraries of the deploy file's build in target/deps and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || deploy/build
python3 -m compileall -q tools/burdockhaven_standins review
PYTHONPATH=target/deps:tools python3 -S -c "import burdockhaven_standins.platform_store"
