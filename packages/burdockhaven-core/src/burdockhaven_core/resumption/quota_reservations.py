"""Quota kept for resumed streams that were refused because their account had none left.

After a start of all members quotas come back evenly. Without a reservation new requests
take each part of them as it comes back, and the streams are refused again.
"""

from dataclasses import dataclass

# Seconds after its announced time for which a reservation waits for its stream.
RETURN_MARGIN_S = 0.3


@dataclass(frozen=True, slots=True)
class _Reservation:
    account: str
    units: float
    until_s: float


class QuotaReservations:
    """Reservations by the digest of the refused request; each ends by itself."""

    def __init__(self) -> None:
        self.reservations: dict[int, _Reservation] = {}

    def reserve(
        self, digest: int, account: str, units: float, wait_s: float, now: float
    ) -> None:
        """Keep units for a stream that returns after the given seconds."""
        until_s = now + wait_s + RETURN_MARGIN_S
        self.reservations[digest] = _Reservation(account, units, until_s)

    def release(self, digest: int) -> None:
        """End the reservation of a stream that has returned, if there is one."""
        self.reservations.pop(digest, None)

    def units(self, account: str, now: float) -> float:
        """Return the units that new requests of an account must leave."""
        if not self.reservations:
            return 0.0
        self.reservations = {
            digest: kept
            for digest, kept in self.reservations.items()
            if kept.until_s > now
        }
        return sum(
            kept.units for kept in self.reservations.values() if kept.account == account
        )
