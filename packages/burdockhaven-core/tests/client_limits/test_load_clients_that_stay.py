"""Load pattern: a crowd that sends nearly whole bodies and stays, beside callers."""

import pytest

from burdockhaven_core.client_limits import HeldMemory, HoldingKind, MemoryBudget

MB = 2**20
CROWD = 220
CROWD_BODY_BYTES = 4 * MB - 1
PIECE_BYTES = 65_536
STEP_S = 0.01
STEPS = 2_000
STEPS_BETWEEN_CALLERS = 100


class Uploads:
    """Bodies that arrive in pieces, and those that had to yield."""

    def __init__(self):
        self.memory = HeldMemory(MemoryBudget.from_memory(300 * MB))
        self.holdings = {}
        # Clients that had to yield lately, and their number in total.
        self.recently_yielded = []
        self.yielded = 0

    def receive(self, client, body_bytes, now):
        """Take one more piece; return whether the body is whole."""
        holding = self.holdings.get(client)
        size = min(body_bytes, PIECE_BYTES + (holding.size if holding else 0))
        if holding is None:
            self.holdings[client] = self.memory.hold(
                client, HoldingKind.BODY, size, now
            )
        else:
            self.memory.resize(holding, HoldingKind.BODY, size, now)
        for yielding in self.memory.take_yielding(now):
            self.recently_yielded.append(yielding.owner)
            self.yielded += 1
            self.release(yielding.owner)
        assert self.memory.total <= self.memory.budget.total
        return size == body_bytes and client in self.holdings

    def release(self, client):
        self.memory.release(self.holdings.pop(client))

    def take_yielded(self):
        yielded, self.recently_yielded = self.recently_yielded, []
        return yielded

    def is_stuck(self, client):
        holding = self.holdings.get(client)
        return holding is not None and holding.size == CROWD_BODY_BYTES


# Guards against memory that grows with the crowd, and against callers that yield to it.
@pytest.mark.parametrize(
    ("caller_body_bytes", "arrival_interval_s", "returns_after_s"),
    [(4 * MB, 0.05, 11.0), (30_000, 0.0, 0.0)],
)
def test_callers_are_served_beside_the_crowd(
    caller_body_bytes, arrival_interval_s, returns_after_s
):
    uploads, served = Uploads(), 0
    may_send_s = {client: client * arrival_interval_s for client in range(CROWD)}
    for step in range(STEPS):
        now = step * STEP_S
        for client in range(CROWD):
            if now >= may_send_s[client] and not uploads.is_stuck(client):
                uploads.receive(client, CROWD_BODY_BYTES, now)
        for client in uploads.take_yielded():
            may_send_s[client] = now + returns_after_s
        caller, caller_step = divmod(step, STEPS_BETWEEN_CALLERS)
        name = f"caller {caller}"
        if caller_step * PIECE_BYTES < caller_body_bytes and uploads.receive(
            name, caller_body_bytes, now
        ):
            uploads.release(name)
            served += 1
    assert uploads.yielded > CROWD // 2
    assert served == STEPS // STEPS_BETWEEN_CALLERS
