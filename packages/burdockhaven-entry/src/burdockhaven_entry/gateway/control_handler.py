"""Control endpoints: look-ups, readiness, configuration, metrics, placements."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from burdockhaven_core.client_limits import Listener
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.responses import NOT_FOUND, UNAVAILABLE, error_response
from burdockhaven_entry.platform import (
    LOOK_UP_PATH,
    READINESS_PATH,
    PlatformStore,
    encode_look_up,
)

# Port and path of the metrics; deploy/system.toml names both.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
# Path at which other members fetch the configuration in force.
CONFIGURATION_PATH = "/configuration"
# Path at which operators ask where a request would go.
WHERE_PATH = "/where"
VERSION_HEADER = "Burdockhaven-Version"
# Paths by listener. Clients are given the address of the directory, and the
# configuration holds the API keys of all accounts.
PATHS_BY_LISTENER = {
    Listener.READINESS: frozenset({READINESS_PATH}),
    Listener.DIRECTORY: frozenset({LOOK_UP_PATH}),
    Listener.CONTROL: frozenset(
        {READINESS_PATH, LOOK_UP_PATH, CONFIGURATION_PATH, WHERE_PATH}
    ),
}
# Seconds for which clients cache a look-up. A shorter time causes more calls, a longer
# one more connections to members that have stopped.
LOOK_UP_TTL_S = 0.9
# Maximum number of addresses in a response; the platform's clients use that many.
MAX_LOOK_UP_ADDRESSES = 64


class ControlHandler:
    """Handles look-ups, readiness checks, configuration fetches and metrics."""

    def __init__(self, state: GatewayState, store: PlatformStore) -> None:
        self.state = state
        self.store = store

    def handler_for(
        self, listener: Listener
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        """Return the handler of a listener, which serves its own paths only."""
        paths = PATHS_BY_LISTENER[listener]

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if request.path not in paths:
                return error_response(NOT_FOUND, "unknown path")
            return await self.handle(request)

        return handle

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request to a control address."""
        if request.path == READINESS_PATH:
            return self._readiness()
        if request.path == LOOK_UP_PATH:
            return self._look_up()
        if request.path == CONFIGURATION_PATH:
            return self._configuration()
        if request.path == WHERE_PATH:
            # Imported on the first question, so that the start does not wait for it.
            from burdockhaven_entry.gateway.where_handler import handle_where

            return handle_where(self.state, request)
        return error_response(NOT_FOUND, "unknown path")

    async def handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle a request to the metrics address."""
        if request.path != METRICS_PATH:
            return error_response(NOT_FOUND, "unknown path")
        # Imported on the first fetch, so that the start does not wait for it.
        from burdockhaven_entry.gateway.metrics_text import (
            CONTENT_TYPE,
            GatewayCollector,
        )

        page = GatewayCollector.render(self.state, self.store)
        return web.Response(body=page, headers={"Content-Type": CONTENT_TYPE})

    def _readiness(self) -> web.Response:
        if self.state.ready:
            return web.Response(text="ready\n")
        return error_response(UNAVAILABLE, "not ready")

    def _look_up(self) -> web.Response:
        state = self.state
        views = state.member_list.serving(state.clock())
        addresses = [view.heartbeat.front_address for view in views]
        if state.ready:
            addresses.append(state.settings.front_address)
        if not addresses:
            return error_response(UNAVAILABLE, "no member is ready")
        state.rng.shuffle(addresses)
        ttl_s = min(LOOK_UP_TTL_S, state.settings.look_up_ttl_max_s)
        body = encode_look_up(addresses[:MAX_LOOK_UP_ADDRESSES], ttl_s)
        return web.Response(body=body, content_type="application/json")

    def _configuration(self) -> web.Response:
        if self.state.table is None:
            return error_response(UNAVAILABLE, "no configuration received yet")
        return web.Response(
            body=self.state.table_bytes,
            headers={VERSION_HEADER: str(self.state.version)},
        )
