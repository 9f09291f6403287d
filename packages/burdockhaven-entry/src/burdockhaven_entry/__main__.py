"""Run the daemon with `python -m burdockhaven_entry --config FILE`."""

import sys

from burdockhaven_entry.main import main

sys.exit(main())
