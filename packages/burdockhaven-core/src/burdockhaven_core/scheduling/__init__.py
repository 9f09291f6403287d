"""Request scheduling for the users' platform: routing, quotas, placement, membership.

Like the rest of the core, these modules do no I/O and read no clock; the caller passes
in the time.
"""

from burdockhaven_core.scheduling.broker import AddressedReply, Broker
from burdockhaven_core.scheduling.member_list import MemberList
from burdockhaven_core.scheduling.quotas import QuotaRule, Quotas
from burdockhaven_core.scheduling.retry_budget import RetryBudget, RetryRule
from burdockhaven_core.scheduling.routing import Route, RouteKind, RoutingTable
from burdockhaven_core.scheduling.target_registry import TargetEntry, TargetRegistry

__all__ = [
    "AddressedReply",
    "Broker",
    "MemberList",
    "QuotaRule",
    "Quotas",
    "RetryBudget",
    "RetryRule",
    "Route",
    "RouteKind",
    "RoutingTable",
    "TargetEntry",
    "TargetRegistry",
]
