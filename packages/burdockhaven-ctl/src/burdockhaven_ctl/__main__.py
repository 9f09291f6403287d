"""Run the command line with `python -m burdockhaven_ctl`."""

import sys

from burdockhaven_ctl.main import main

sys.exit(main())
