# Sourced by the other scripts. Changes to the root of the checkout, creates .venv if needed
# and puts the sources of this checkout first on the import path.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -L .venv ]; then
    scripts/setup
fi
export PATH="$PWD/.venv/bin:$PATH"
export PYTHONPATH="$PWD/packages/burdockhaven-core/src:$PWD/packages/burdockhaven-entry/src:$PWD/packages/burdockhaven-ctl/src:$PWD/tools"
export PYTHONDONTWRITEBYTECODE=1
