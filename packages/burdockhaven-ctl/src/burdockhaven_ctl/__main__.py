"""Runs the command line as `python -m burdockhaven_ctl`."""

import sys

from burdockhaven_ctl.main import main

sys.exit(main())
