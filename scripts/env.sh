# Sourced by the other scripts: sets up the tools and puts this checkout's code first.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -L .venv ]; then
    scripts/setup
fi
export PATH="$PWD/.venv/bin:$PATH"
export PYTHONPATH="$PWD/packages/burdockhaven-core/src:$PWD/packages/burdockhaven-entry/src:$PWD/packages/burdockhaven-ctl/src:$PWD/tools"
export PYTHONDONTWRITEBYTECODE=1
