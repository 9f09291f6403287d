"""HTTP servers of the daemon, started and stopped from its own event loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

from burdockhaven_entry.setting_values import Address

# Seconds that open connections get when a server stops.
STOP_TIMEOUT_S = 5
# Connections that wait to be accepted.
BACKLOG = 2_048


class _Server(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """One application on one address."""

    def __init__(self, application: Any, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self.socket = socket.socket(family, socket.SOCK_STREAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((address.host, address.port))
        # The address in use, also when the port was left to the system.
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
        """Accept connections."""
        self.task = asyncio.create_task(self.server.serve(sockets=[self.socket]))

    async def stop(self) -> None:
        """Refuse new connections, give open ones some time, and end."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
