"""Run the daemon with `python -m burdockhaven_entry --config FILE`."""

import sys

from burdockhaven_entry.process_signals import prepare_for_start

# Before the other imports, which take most of a start.
prepare_for_start()

from burdockhaven_entry.main import main  # noqa: E402

sys.exit(main())
