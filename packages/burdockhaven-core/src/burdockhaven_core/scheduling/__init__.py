"""Decisions for the users' platform: routing, quotas, placement, membership.

Like the rest of the core, these modules open no socket and read no clock.
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
    "QuotaRule",
    "Quotas",
    "RetryBudget",
    "RetryRule",
    "MemberList",
    "Route",
    "RouteKind",
    "RoutingTable",
    "TargetEntry",
    "TargetRegistry",
]
