"""Filter chain that each request passes before it is queued.

Each filter takes one typed value and returns the next one, or a refusal.
"""

from burdockhaven_core.filters.authorise import Authorised, authorise
from burdockhaven_core.filters.identify import Identified, identify
from burdockhaven_core.filters.limit import check_limits
from burdockhaven_core.filters.plan import Planned, plan

__all__ = [
    "Authorised",
    "Identified",
    "Planned",
    "authorise",
    "identify",
    "check_limits",
    "plan",
]
