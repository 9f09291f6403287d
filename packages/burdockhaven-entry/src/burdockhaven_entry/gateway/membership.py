"""Membership by heartbeats, and dispatch of the messages of other members.

Heartbeats carry liveness, quota usage, leaving targets and the configuration version. A
member that learns of a newer version by a heartbeat fetches it from the sender.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
import msgspec

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.heartbeat_schedule import HeartbeatSchedule
from burdockhaven_core.scheduling.peer_messages import (
    CancelPlacement,
    FindOrigin,
    Heartbeat,
    OriginMessage,
    OriginReply,
    PeerMessage,
    PlacementReply,
    PlacementRequest,
    RecordOrigins,
    RunProgress,
    RunReport,
)
from burdockhaven_entry.gateway.control_handler import CONFIGURATION_PATH
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.peer_endpoint import PeerEndpoint, parse_address
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.gateway.store_era import UNKNOWN_ERA
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    DECODE_ERRORS,
    MEMBERS_PREFIX,
    StoreItem,
    read_body_up_to,
)

# Timeouts in seconds for fetching a configuration from another member: without a byte,
# and for the rest of a response, which takes long over a narrow link.
FETCH_TIMEOUT_S = 1.0
TRANSFER_TIMEOUT_S = 10.0
# Seconds without a response after which a second member is asked beside the first. A
# change has to be in force within two seconds, and several members may stand still.
FETCH_HEDGE_DELAY_S = 0.25
# Bytes of the longest configuration that is fetched; the store holds values up to 1 MB.
MAX_CONFIGURATION_BYTES = 16 * 2**20
# Seconds to wait for the store to deliver a configuration that a hub already has,
# before it is fetched from the hub.
HUB_FETCH_DELAY_S = 0.8
# Seconds between two probes of an address from which no heartbeat has been received.
PROBE_INTERVAL_S = 1.0
# Nodes that one log event names.
MAX_LOGGED_NODES = 10
# Seconds after which probing of an address ends if no member has responded.
PROBE_TIMEOUT_S = 20.0


class MemberEntry(msgspec.Struct, frozen=True):
    """Entry under which a member registers in the store."""

    peer_address: str
    control_address: str


@dataclass(slots=True)
class Membership:
    """Exchanges heartbeats and messages with the other members."""

    state: GatewayState
    endpoint: PeerEndpoint
    placement_client: PlacementClient
    session: aiohttp.ClientSession
    # Receives the bytes of a configuration and their source.
    on_configuration: Callable[[bytes, str], None]
    spawn: Callable[..., None]
    on_origin_message: Callable[[OriginMessage], None]
    # Nodes of the members asked for a configuration, and when the last one was asked.
    fetching_from: set[str] = field(default_factory=set)
    fetch_started_s: float = -math.inf
    # Number of these members whose response has begun.
    responding: int = 0
    heartbeat_schedule: HeartbeatSchedule = field(default_factory=HeartbeatSchedule)
    # Addresses to probe, each with the times of its discovery and of its last probe.
    unidentified_addresses: dict[str, tuple[float, float]] = field(default_factory=dict)
    # Set once another member has sent a heartbeat or none is known to be probed.
    first_contact: asyncio.Event = field(default_factory=asyncio.Event)

    def encode_entry(self) -> bytes:
        """Return the entry of this process for the store."""
        state = self.state
        return msgspec.json.encode(
            MemberEntry(state.peer_address, state.settings.control_address)
        )

    def probe_member_entries(self, items: tuple[StoreItem, ...]) -> None:
        """Probe the members that are registered in the store."""
        nodes = {item.key.removeprefix(MEMBERS_PREFIX) for item in items}
        self._record_registered(nodes)
        for item in items:
            try:
                entry = msgspec.json.decode(item.value or b"", type=MemberEntry)
            except DECODE_ERRORS:
                # Written by a member of another version, which probes this one itself.
                continue
            self.probe(entry.peer_address)
        if not self.unidentified_addresses:
            self.first_contact.set()

    def _record_registered(self, nodes: set[str]) -> None:
        member_list = self.state.member_list
        before = member_list.unheard
        for node in member_list.record_registered(nodes, self.state.clock()):
            log(EventNumber.MEMBER_REMOVED, node=node, members=len(nodes))
        if member_list.unheard - before:
            log(
                EventNumber.MEMBERS_UNHEARD,
                nodes=", ".join(sorted(member_list.unheard)[:MAX_LOGGED_NODES]),
                count=len(member_list.unheard),
            )

    def probe_seeds(self) -> None:
        """Probe the seed members named in the settings."""
        for seed in self.state.settings.seeds:
            host = seed.rpartition(":")[0]
            self.probe(f"{host}:{self.state.settings.peer_port}")

    def probe(self, address: str) -> None:
        """Send heartbeats to an address until a member there responds.

        Nothing is sent to what is no address: it has another writer.
        """
        if parse_address(address) is None:
            return
        known_addresses = {
            v.heartbeat.peer_address for v in self.state.member_list.views.values()
        }
        if address != self.state.peer_address and address not in known_addresses:
            self.unidentified_addresses.setdefault(address, (self.state.clock(), 0.0))

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the members that are due and to probed addresses.

        Called at each tick of the schedule; does nothing if no heartbeats are due.
        """
        state = self.state
        if not self.heartbeat_schedule.advance(state.member_list):
            return
        now = state.clock()
        state.sequence += 1
        heartbeat = state.heartbeat()
        state.record_usage(heartbeat, now)
        self._update_quotas(now)
        state.member_list.update_hubs(heartbeat, now)
        state.apply_limits(now)
        recipients = self.heartbeat_schedule.recipients(state.member_list)
        self.endpoint.send_all(
            [v.heartbeat.peer_address for v in recipients], heartbeat
        )
        for address, (since_s, probed_s) in list(self.unidentified_addresses.items()):
            if now - since_s > PROBE_TIMEOUT_S:
                del self.unidentified_addresses[address]
            elif now - probed_s > PROBE_INTERVAL_S:
                self.unidentified_addresses[address] = (since_s, now)
                self.endpoint.send(address, heartbeat)

    def _update_quotas(self, now: float) -> None:
        """Apply what the members that are heard, and those that aren't, may use."""
        state, quotas = self.state, self.state.broker.quotas
        member_list = state.member_list
        member_list.record_lease(state.has_lease(), now)
        share = member_list.quota_share(now)
        if share != quotas.share:
            log(
                EventNumber.QUOTA_SHARE_CHANGED,
                share=round(share, 3),
                heard=len(member_list.live_members(now)) + 1,
                known=member_list.known_count(),
                registered=member_list.lapsed_since_s is None,
            )
        quotas.share = share
        quotas.is_usage_complete = member_list.is_complete(now)
        quotas.set_silent(
            view.heartbeat.sender for view in member_list.silent_members(now)
        )

    def announce_drain(self) -> None:
        """Tell every member at once that this one drains.

        Members leave it out of their look-ups then; in a large cluster most of them
        would get its next heartbeat only some seconds later.
        """
        state = self.state
        state.sequence += 1
        addresses = [
            view.heartbeat.peer_address for view in state.member_list.views.values()
        ]
        self.endpoint.send_all(addresses, state.heartbeat())
        self.placement_client.follow_broker()

    def send(self, node: str, message: PeerMessage) -> None:
        """Send a message to the member on the node, if it is known."""
        view = self.state.member_list.views.get(node)
        if view is not None:
            self.endpoint.send(view.heartbeat.peer_address, message)

    def on_message(self, message: PeerMessage) -> None:
        """Handle a message of another member."""
        now = self.state.clock()
        match message:
            case Heartbeat():
                self._on_heartbeat(message, now)
            case PlacementRequest():
                self.state.member_list.record_message(message.sender, now)
                reply = msgspec.structs.replace(
                    self.placement_client.submit(message, now),
                    broker=self.state.member_id.node,
                )
                self.send(message.sender.node, reply)
            case PlacementReply():
                self.placement_client.on_reply(message, message.broker)
            case RunProgress():
                self.state.member_list.record_message(message.sender, now)
                self.state.broker.apply_progress(message, now)
                self.placement_client.grant_queued()
            case RunReport():
                self.state.member_list.record_message(message.sender, now)
                self.state.broker.apply_report(message, now)
            case CancelPlacement():
                self.state.broker.cancel_placement(message.sender, message.number, now)
                self.placement_client.grant_queued()
            case RecordOrigins() | FindOrigin() | OriginReply():
                self.on_origin_message(message)

    def _on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        if heartbeat.sender.node == self.state.member_id.node:
            return
        self.unidentified_addresses.pop(heartbeat.peer_address, None)
        self.first_contact.set()
        if self.state.member_list.record_heartbeat(heartbeat, now):
            # Announce this member to the newly started one without delay.
            self.endpoint.send(heartbeat.peer_address, self.state.heartbeat())
        sender = heartbeat.sender.node
        if heartbeat.draining and sender == self.placement_client.reported_to:
            self.placement_client.follow_broker()
        self.state.record_usage(heartbeat, now)
        self.state.record_announced_limits(heartbeat, now)
        if heartbeat.store_era != UNKNOWN_ERA:
            self.state.store_eras.observe(heartbeat.store_era, heartbeat.sender.node)
        self.state.record_announced_leaving(heartbeat, now)
        for notice in heartbeat.accused_parts:
            self.state.broker.crashes.apply_notice(notice, heartbeat.sender.node, now)
        for accused in heartbeat.accused_requests:
            self.state.request_quarantine.apply_notice(accused, sender, now)
        if heartbeat.config_version > self.state.version and (
            self._can_fetch_from(sender, now)
        ):
            self.fetching_from.add(sender)
            self.fetch_started_s = now
            self.spawn(self._fetch_configuration(heartbeat))

    @property
    def is_fetching(self) -> bool:
        """Whether a member was asked for a configuration and has not sent all of it."""
        return bool(self.fetching_from)

    def _can_fetch_from(self, node: str, now: float) -> bool:
        """Whether the member on the node is to be asked for its configuration.

        That is so beside others if these are silent, except with hubs: the few could
        not serve all members several times.
        """
        if node in self.fetching_from or self.responding:
            return False
        is_overdue = now - self.fetch_started_s >= FETCH_HEDGE_DELAY_S
        return not self.is_fetching or (is_overdue and not self.state.member_list.hubs)

    async def _fetch_configuration(self, heartbeat: Heartbeat) -> None:
        try:
            if self.state.member_list.hubs and self.state.has_synced:
                # The store delivers the version to every member; the few hubs could not
                # serve all members at once.
                await asyncio.sleep(HUB_FETCH_DELAY_S)
            if self.state.version < heartbeat.config_version:
                await self._read_configuration_of(heartbeat)
        except (aiohttp.ClientError, TimeoutError) as error:
            # Retried on the next heartbeat of any member with a newer version.
            self.endpoint.on_error(heartbeat.control_address, repr(error))
        finally:
            self.fetching_from.discard(heartbeat.sender.node)

    async def _read_configuration_of(self, heartbeat: Heartbeat) -> None:
        url = f"http://{heartbeat.control_address}{CONFIGURATION_PATH}"
        timeout = aiohttp.ClientTimeout(
            total=FETCH_TIMEOUT_S + TRANSFER_TIMEOUT_S,
            sock_connect=FETCH_TIMEOUT_S,
            sock_read=FETCH_TIMEOUT_S,
        )
        async with self.session.get(url, timeout=timeout) as response:
            if response.status != 200:
                return
            self.responding += 1
            try:
                data = await read_body_up_to(response, MAX_CONFIGURATION_BYTES)
            finally:
                self.responding -= 1
        if data is None:
            detail = f"the configuration exceeds {MAX_CONFIGURATION_BYTES} bytes"
            self.endpoint.on_error(heartbeat.control_address, detail)
        else:
            self.on_configuration(data, heartbeat.sender.node)
