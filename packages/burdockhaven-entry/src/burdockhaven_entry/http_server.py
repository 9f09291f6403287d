"""HTTP servers of the daemon, which run in its event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from burdockhaven_entry.setting_values import Address

# Seconds for which a stopping server waits for its open connections.
STOP_TIMEOUT_S = 5
# Limit on connections that wait to be accepted.
BACKLOG = 2_048


class _Server(uvicorn.Server):
    """A server that installs no signal handlers; the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an application on an address, which is bound on construction."""

    def __init__(self, application: Any, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((address.host, address.port))
        # The address in use; the system chooses the port if it was given as 0.
        self.address = Address(address.host, self.socket.getsockname()[1])
        config = uvicorn.Config(
            application,
            log_config=None,
            access_log=False,
            http="httptools",
            ws="none",
            proxy_headers=False,
            backlog=BACKLOG,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
            lifespan="off",
        )
        self.server = _Server(config)
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start accepting connections."""
        self.task = asyncio.create_task(self.server.serve(sockets=[self.socket]))

    async def stop(self) -> None:
        """Stop accepting connections and wait for open ones, up to a time limit."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
