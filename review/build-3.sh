#!/usr/bin/env bash
# Copies the stand-ins that the cases of this review start to target/review-3. Needs the
# build of the deploy file, whose libraries they use, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r tools/burdockhaven_standins target/review-3/
cp review/lib3/*.py target/review-3/
python3 -m compileall -q target/review-3
