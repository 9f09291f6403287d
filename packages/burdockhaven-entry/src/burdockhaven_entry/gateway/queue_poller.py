"""Polls the queue of the local broker while it holds requests.

Most members never queue a request: only the broker in use does. A process with an empty
queue is therefore not woken up.
"""

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.timer import Subscription, TimerService

# Seconds between two attempts to grant queued requests.
GRANT_INTERVAL_S = 0.02
# Seconds between two checks for queued requests that can't be served in time.
LOAD_SHEDDING_INTERVAL_S = 0.05


class QueuePoller:
    """Grants and refuses queued requests at fixed intervals until none is left."""

    def __init__(
        self, timer: TimerService, broker: Broker, placement_client: PlacementClient
    ) -> None:
        self.timer = timer
        self.broker = broker
        self.placement_client = placement_client
        # Empty while the queue is.
        self.subscriptions: list[Subscription] = []

    def start(self) -> None:
        """Start polling; does nothing if it has started."""
        if not self.subscriptions:
            self.subscriptions = [
                self.timer.subscribe(GRANT_INTERVAL_S, self._grant),
                self.timer.subscribe(LOAD_SHEDDING_INTERVAL_S, self._refuse),
            ]

    def _grant(self, now: float) -> None:
        self.placement_client.grant_queued()
        self._stop_if_empty()

    def _refuse(self, now: float) -> None:
        self.placement_client.refuse_infeasible()
        self._stop_if_empty()

    def _stop_if_empty(self) -> None:
        if self.broker.queue:
            return
        for subscription in self.subscriptions:
            subscription.cancel()
        self.subscriptions = []
