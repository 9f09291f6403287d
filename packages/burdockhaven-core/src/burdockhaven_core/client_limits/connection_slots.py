"""Connections of one listener, and which of them is closed for a new one."""

from typing import Generic, TypeVar

Connection = TypeVar("Connection")


class ConnectionSlots(Generic[Connection]):
    """Counts the open connections of a listener.

    A connection awaits its client while it is idle, while a request on it is incomplete
    and while its client reads no response. When all slots are taken, the connection
    that has awaited its client the longest makes room: a crowd that stays doesn't shut
    out those that come next. A connection whose request is under way never does.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        # Open connections, including those that are being closed.
        self.open = 0
        # Connections that await their clients, longest first.
        self.awaiting: dict[Connection, None] = {}
        # Connections chosen to make room that are not closed yet.
        self.leaving: set[Connection] = set()

    def begin_wait(self, connection: Connection) -> None:
        """Record that a connection awaits its client from now on."""
        if connection in self.leaving:
            return
        self.awaiting.pop(connection, None)
        self.awaiting[connection] = None

    def end_wait(self, connection: Connection) -> None:
        """Record that a connection no longer awaits its client."""
        self.awaiting.pop(connection, None)

    def is_full(self) -> bool:
        """Whether a new connection needs another one to be closed."""
        return self.open - len(self.leaving) >= self.capacity

    def take_longest_waiting(self) -> Connection | None:
        """Return the connection to close; None if none awaits its client."""
        connection = next(iter(self.awaiting), None)
        if connection is not None:
            del self.awaiting[connection]
            self.leaving.add(connection)
        return connection

    def add(self) -> None:
        """Count a new connection."""
        self.open += 1

    def remove(self, connection: Connection) -> None:
        """Forget a connection that was closed."""
        self.open -= 1
        self.awaiting.pop(connection, None)
        self.leaving.discard(connection)
