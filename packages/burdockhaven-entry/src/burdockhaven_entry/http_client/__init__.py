"""Connections of aiohttp clients, on which only valid responses are accepted."""

from burdockhaven_entry.http_client.bounded_connection import (
    BoundedConnection,
    InvalidResponseError,
    close_idle_connections,
    create_connector,
)

__all__ = [
    "BoundedConnection",
    "InvalidResponseError",
    "close_idle_connections",
    "create_connector",
]
