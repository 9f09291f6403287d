"""Bounds on the memory and descriptors that clients may occupy in one process."""

from burdockhaven_core.client_limits.connection_slots import ConnectionSlots
from burdockhaven_core.client_limits.descriptor_shares import (
    ACCEPT_BATCH,
    DescriptorShares,
    Listener,
)
from burdockhaven_core.client_limits.held_memory import (
    PROGRESS_BYTES,
    HeldMemory,
    Holding,
    HoldingKind,
)
from burdockhaven_core.client_limits.memory_budget import MemoryBudget
from burdockhaven_core.client_limits.request_cost import (
    CONNECTION_OVERHEAD_BYTES,
    request_cost,
)
from burdockhaven_core.client_limits.service_shares import ServiceShares

__all__ = [
    "ACCEPT_BATCH",
    "CONNECTION_OVERHEAD_BYTES",
    "PROGRESS_BYTES",
    "ConnectionSlots",
    "DescriptorShares",
    "HeldMemory",
    "Holding",
    "HoldingKind",
    "Listener",
    "MemoryBudget",
    "ServiceShares",
    "request_cost",
]
