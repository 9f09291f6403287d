"""Client of the platform's list of VMs."""

import enum
from dataclasses import dataclass

import httpx
import msgspec
from result import Err, Ok, Result

from burdockhaven_core.events import VmListRead

READ_TIMEOUT_S = 2.0
# Seconds between two reads of the list.
POLL_INTERVAL_S = 2.0
STEP = "read VM list"


class VmState(enum.Enum):
    """State of a VM in the list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list."""

    # IP address and port of a target or of an entry's peer socket.
    address: str
    zone: str
    state: VmState


class VmList(msgspec.Struct, frozen=True):
    """The list of VMs."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class VmListFailure:
    """The list could not be read; the previous one stays in use."""

    # The step that failed.
    step: str
    # Base URL of the list.
    peer: str
    detail: str


@dataclass(slots=True)
class VmListClient:
    """HTTP client of the list; one per daemon."""

    # Base URL of the list.
    base_url: str
    client: httpx.AsyncClient

    @classmethod
    def from_url(cls, url: str) -> "VmListClient":
        """Create a client for the base URL; nothing is sent yet."""
        client = httpx.AsyncClient(
            base_url=url, timeout=READ_TIMEOUT_S, trust_env=False
        )
        return cls(url, client)

    async def close(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def read(self) -> Result[VmListRead, VmListFailure]:
        """Read the list, which lags behind the state of the VMs."""
        try:
            response = await self.client.get("/vms")
            response.raise_for_status()
            listed = msgspec.json.decode(response.content, type=VmList)
        except (httpx.HTTPError, ValueError) as error:
            detail = f"{type(error).__name__}: {error}"
            return Err(VmListFailure(STEP, self.base_url, detail))
        return Ok(
            VmListRead(
                live=_addresses(listed, VmState.LIVE),
                leaving=_addresses(listed, VmState.LEAVING),
            )
        )


def _addresses(listed: VmList, state: VmState) -> frozenset[str]:
    return frozenset(vm.address for vm in listed.vms if vm.state is state)
