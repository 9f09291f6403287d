"""What the hubs tell the other members of changes in the store.

In a large cluster only the hubs watch the store: the platform bills each waiting watch
as a call, so watches by every member would cost more than anything else. The other
members follow the hubs' heartbeats and read from the store what a hub announces. A
member that hears no hub in sync with the store watches it itself.
"""

import enum
from dataclasses import dataclass

from burdockhaven_core.scheduling.member_list import MEMBER_TIMEOUT_S, MemberList


class HubLoss(enum.Enum):
    """Why no hub tells a member of changes in the store."""

    # The member is a hub, or no hub is heard that knows this era of the store.
    NO_HUB = "no hub"
    # All hubs that are heard are out of sync with the store.
    OUT_OF_SYNC = "out of sync"


@dataclass(frozen=True, slots=True)
class HubFeed:
    """The newest state of the store that the hubs in sync with it announce."""

    # Version of the configuration in force.
    config_version: int
    # Store revision of the last change of a target's entry.
    targets_revision: int


def find_hub_feed(
    member_list: MemberList, store_era: int, now: float
) -> HubFeed | HubLoss:
    """Return what the hubs announce of the store in this era, or why nothing is known.

    Revisions of different eras can't be compared, so hubs of another era don't count.
    """
    if not member_list.is_follower:
        return HubLoss.NO_HUB
    heartbeats = [
        view.heartbeat
        for node in member_list.hubs
        if (view := member_list.views.get(node)) is not None
        and now - view.last_seen_s <= MEMBER_TIMEOUT_S
    ]
    in_sync = [heartbeat for heartbeat in heartbeats if heartbeat.in_sync]
    if heartbeats and not in_sync:
        return HubLoss.OUT_OF_SYNC
    current = [heartbeat for heartbeat in in_sync if heartbeat.store_era == store_era]
    if not current:
        return HubLoss.NO_HUB
    return HubFeed(
        max(heartbeat.config_version for heartbeat in current),
        max(heartbeat.targets_revision for heartbeat in current),
    )
