"""Decisions for the users' platform: routing, quotas, placement, membership.

Like the rest of the core, these modules open no socket and read no clock.
"""

from burdockhaven_core.scheduling.broker import Answered, Broker
from burdockhaven_core.scheduling.quotas import QuotaRule, Quotas
from burdockhaven_core.scheduling.retry_budget import RetryBudget, RetryRule
from burdockhaven_core.scheduling.roster import Roster
from burdockhaven_core.scheduling.routing import Route, RouteKind, RoutingTable
from burdockhaven_core.scheduling.target_registry import TargetEntry, TargetRegistry

__all__ = [
    "Answered",
    "Broker",
    "QuotaRule",
    "Quotas",
    "RetryBudget",
    "RetryRule",
    "Roster",
    "Route",
    "RouteKind",
    "RoutingTable",
    "TargetEntry",
    "TargetRegistry",
]
