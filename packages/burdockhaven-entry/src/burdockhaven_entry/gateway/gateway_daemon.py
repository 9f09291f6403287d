"""Composition root of the gateway: wires the parts, runs periodic work, drains."""

import asyncio
import contextlib
import functools
import gc
import math
import random
import time
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import aiohttp

from burdockhaven_core.client_limits import ACCEPT_BATCH, Listener
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.drain_schedule import DrainSchedule
from burdockhaven_entry.gateway.client_server import ClientServer
from burdockhaven_entry.gateway.control_handler import METRICS_PORT, ControlHandler
from burdockhaven_entry.gateway.frontend import Frontend
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.member_directory import MemberDirectory
from burdockhaven_entry.gateway.membership import Membership
from burdockhaven_entry.gateway.pace_log import log_pace_changes
from burdockhaven_entry.gateway.peer_endpoint import PeerEndpoint
from burdockhaven_entry.gateway.placement_client import PlacementClient
from burdockhaven_entry.gateway.plain_forwarding import PlainForwarder
from burdockhaven_entry.gateway.prompt_part_log import log_part_changes
from burdockhaven_entry.gateway.queue_poller import QueuePoller
from burdockhaven_entry.gateway.request_log import log_cut
from burdockhaven_entry.gateway.request_quarantine_log import log_content_changes
from burdockhaven_entry.gateway.responses import STOPPING_RETRY_AFTER_S
from burdockhaven_entry.gateway.stop_steps import attempt, attempt_async
from burdockhaven_entry.gateway.store_event_handlers import StoreEventHandlers
from burdockhaven_entry.gateway.store_sync import (
    PrefixHandlers,
    PrefixWatcher,
    maintain_registration,
)
from burdockhaven_entry.gateway.stream_forwarding import StreamForwarder
from burdockhaven_entry.gateway.stream_origin_directory import StreamOriginDirectory
from burdockhaven_entry.gateway.target_client import TargetClient
from burdockhaven_entry.gateway.version_recorder import VersionRecorder
from burdockhaven_entry.http_client import (
    close_idle_connections,
    create_connector,
)
from burdockhaven_entry.listening_sockets import ListeningSocket
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    MEMBERS_PREFIX,
    SINGLE_VALUE_HEADERS,
    PlatformSettings,
    PlatformStore,
    StoreItem,
)
from burdockhaven_entry.process_signals import STOP_SIGNALS, ignore_until_exit
from burdockhaven_entry.quarantine import (
    QuarantineStore,
    content_records,
    part_records,
)
from burdockhaven_entry.resumption import OriginLog
from burdockhaven_entry.timer import TimerService

# Seconds between two heartbeats to each member.
HEARTBEAT_INTERVAL_S = 0.15
# Seconds between two full run reports to the broker.
RUN_REPORT_INTERVAL_S = 0.25
# Seconds from a run update to the message that carries it and all that follow it.
PROGRESS_DELAY_S = 0.005
# Seconds from a stream's first event to the message that tells its origin to the
# backups, and the origins of all streams that begin meanwhile.
ORIGIN_DELAY_S = 0.1
# The same while a service has several software versions: a kill of all members loses
# the streams whose origins are still on the way to the store.
STORED_ORIGIN_DELAY_S = 0.02
# Seconds before a watcher is restarted after an internal error.
WATCH_RESTART_DELAY_S = 0.5
# Seconds between two checks for expired target entries.
EXPIRY_INTERVAL_S = 0.1
# Seconds of silence after which a member's runs are assumed to have ended.
MEMBER_ABSENT_AFTER_S = 1.5
# Seconds between two checks for absent members.
ABSENCE_CHECK_INTERVAL_S = 0.3
# Seconds between two log events while the queue is not empty.
QUEUE_LOG_INTERVAL_S = 1.0
# Longest time in seconds that clients wait after a start until the configuration and
# the targets are read; then their requests are answered with 503.
FIRST_SYNC_TIMEOUT_S = 0.8
# Longest time in seconds after it that clients wait until another member has answered.
# A member that knows no other would take all engines for idle.
FIRST_CONTACT_TIMEOUT_S = 0.2
# Seconds between two checks for clients that exceed the limits on their time.
CLIENT_CHECK_INTERVAL_S = 0.5
# Seconds between two log events about clients that had to give way.
CLIENT_LOG_INTERVAL_S = 1.0
# Header timeout in seconds at the addresses whose limits no configuration states, and
# time without progress of a body before there is a configuration.
DEFAULT_HEADER_TIMEOUT_S = 5.0
DEFAULT_BODY_TIMEOUT_S = 15.0
# Seconds that a stop waits for the end of this member's registration.
DEREGISTRATION_TIMEOUT_S = 0.2
# Seconds that a stop waits for the background tasks, which are cancelled, and for the
# handlers of each server's connections.
TASK_END_TIMEOUT_S = 0.1
SHUTDOWN_TIMEOUT_S = 0.1
INCARNATION_BITS = 48


class GatewayDaemon:
    """All parts of one gateway process."""

    def __init__(
        self, state: GatewayState, sockets: Mapping[str, ListeningSocket]
    ) -> None:
        self.state = state
        # Listening sockets by address.
        self.sockets = sockets
        settings = state.settings
        self.timer = TimerService(state.clock, state.rng)
        self.store = PlatformStore.from_address(
            settings.store_address,
            state.store_eras.record_response,
            functools.partial(create_connector, SINGLE_VALUE_HEADERS),
            close_idle_connections,
        )
        self.store.on_silence = self._on_silent_connections
        self.target_client = TargetClient.create(
            state.client_load.shares.targets, state.metrics.refused_responses
        )
        # Without a pool: a connection that has gone silent meanwhile would delay the
        # rare fetch of a configuration from another member.
        self.session = aiohttp.ClientSession(
            connector=create_connector(force_close=True)
        )
        self.endpoint = PeerEndpoint(self._on_peer_message, self._on_peer_error)
        self.store_handlers = StoreEventHandlers(state)
        self.placement_client = PlacementClient(
            member_id=state.member_id,
            member_list=state.member_list,
            broker=state.broker,
            own_heartbeat=state.heartbeat_head,
            send=lambda node, message: self.membership.send(node, message),
            clock=state.clock,
            on_pending_updates=self._schedule_flush,
            on_queued=lambda: self.queue_poller.start(),
            zone=state.settings.zone,
            paused_targets=state.paused_targets,
        )
        self.version_recorder = VersionRecorder.create(state, self.store)
        self.origin_log = OriginLog(state, self.store, self.version_recorder.is_broker)
        self.quarantine_store = QuarantineStore(
            state,
            self.store,
            self.version_recorder.is_broker,
            unix_ms=lambda: int(time.time() * 1e3),
            kinds=(
                content_records(state.request_quarantine),
                part_records(state.broker),
            ),
        )
        self.store_handlers.on_configuration_read = self.quarantine_store.retry_now
        self.stream_origins = StreamOriginDirectory(
            state,
            lambda node, message: self.membership.send(node, message),
            self._schedule_origins,
            self.version_recorder.find,
            self.origin_log.find,
            self.origin_log.add,
        )
        self.queue_poller = QueuePoller(self.timer, state.broker, self.placement_client)
        self.membership = Membership(
            state,
            self.endpoint,
            self.placement_client,
            self.session,
            self.store_handlers.apply_configuration,
            self.spawn,
            self.stream_origins.on_message,
        )
        self.member_directory = MemberDirectory(
            state,
            self.store,
            self.version_recorder.is_broker,
            self._on_member_entries,
        )
        self.frontend = Frontend(
            state,
            PlainForwarder(state, self.target_client, self.placement_client),
            StreamForwarder(
                state, self.target_client, self.placement_client, self.stream_origins
            ),
        )
        self.control = ControlHandler(state, self.store)
        load = state.client_load
        self.frontend_server = ClientServer(self.frontend.handle, load)
        # Servers of the other addresses, by what they are for.
        self.control_servers = {
            listener: ClientServer(self.control.handler_for(listener), load, listener)
            for listener in (
                Listener.READINESS,
                Listener.CONTROL,
                Listener.DIRECTORY,
            )
        }
        self.metrics_server = ClientServer(
            self.control.handle_metrics, load, Listener.METRICS
        )
        self.listeners: list[asyncio.Server] = []
        self.stop_requested = asyncio.Event()
        # Set by the first request to stop.
        self.drain_schedule: DrainSchedule | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        # The lease on this member's registration; None before the first.
        self.lease: int | None = None
        # Processor time of this process at the last log event of the queue.
        self.logged_cpu_s = 0.0

    @classmethod
    def from_settings(
        cls,
        settings: PlatformSettings,
        sockets: Mapping[str, ListeningSocket],
        clock: Callable[[], float],
    ) -> "GatewayDaemon":
        """Create a daemon that serves listening sockets, given by address.

        Requires a running event loop.
        """
        rng = random.SystemRandom()
        started_ms = int(time.time() * 1e3)
        incarnation = rng.getrandbits(INCARNATION_BITS)
        # Decisions draw many random numbers; a seeded generator is faster than the
        # system's.
        state = GatewayState.from_settings(
            settings, incarnation, started_ms, clock, random.Random(incarnation)
        )
        state.boot_clock = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)
        # Not registered yet, and no configuration read.
        state.lease_until_s = state.configuration_confirmed_s = -math.inf
        return cls(state, sockets)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and close."""
        state = self.state
        log(
            EventNumber.START,
            entry=state.member_id.node,
            incarnation=str(state.member_id.incarnation),
        )
        self._install_signal_handlers()
        await self.endpoint.open(state.settings.ip, state.settings.peer_port)
        self._schedule_periodic_work()
        self._start_store_tasks()
        timer = asyncio.create_task(self.timer.run(), name="timer")
        timer.add_done_callback(self._on_task_end)
        # Replies tell whether members know a newer configuration than the store.
        attempt("probe seeds", self.membership.probe_seeds)
        attempt("send heartbeats", self.membership.send_heartbeats)
        await self._listen()
        attempt("send heartbeats", self.membership.send_heartbeats)
        log(
            EventNumber.READY,
            entry=state.member_id.node,
            address=state.settings.front_address,
        )
        gc.collect()
        gc.freeze()
        gc.enable()
        await self.stop_requested.wait()
        assert self.drain_schedule is not None
        await self._drain(self.drain_schedule)
        self.timer.stop()
        # Its error is logged when it ends.
        await asyncio.wait({timer})
        await self._close()
        log(EventNumber.STOPPED)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until it ends or the daemon stops."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_end)

    def _on_task_end(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log(EventNumber.INTERNAL_ERROR, step=task.get_name(), error=repr(error))

    async def _watch_prefix(self, handlers: PrefixHandlers) -> None:
        """Watch a prefix; after an error in a handler, log it and read all keys."""
        while True:
            watcher = PrefixWatcher(
                self.store,
                handlers,
                self.state.store_eras,
                self.state.clock,
                self.state.rng,
            )
            try:
                await watcher.run()
            except Exception as error:
                step = f"watch {handlers.prefix}"
                log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
                await asyncio.sleep(WATCH_RESTART_DELAY_S)

    def request_stop(self) -> None:
        """Drain and close; the grace period begins now, also while still starting."""
        if self.drain_schedule is None:
            self.drain_schedule = DrainSchedule.from_grace(
                self.state.clock(), self.state.settings.grace_s
            )
            self.stop_requested.set()

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.request_stop)

    def _schedule_periodic_work(self) -> None:
        timer = self.timer
        timer.subscribe(
            HEARTBEAT_INTERVAL_S,
            lambda now: self.membership.send_heartbeats(),
            jitter=0.1,
        )
        timer.subscribe(
            RUN_REPORT_INTERVAL_S,
            lambda now: self.placement_client.send_report(),
            jitter=0.1,
        )
        timer.subscribe(EXPIRY_INTERVAL_S, self._expire_targets)
        timer.subscribe(EXPIRY_INTERVAL_S, self._handle_quarantine_changes)
        timer.subscribe(
            EXPIRY_INTERVAL_S,
            lambda now: log_pace_changes(self.state.broker.runs.pace_changes),
        )
        timer.subscribe(ABSENCE_CHECK_INTERVAL_S, self._discard_runs_of_absent_members)
        timer.subscribe(QUEUE_LOG_INTERVAL_S, self._log_queue)
        timer.subscribe(
            CLIENT_CHECK_INTERVAL_S, lambda now: self._enforce_client_limits()
        )
        timer.subscribe(
            CLIENT_LOG_INTERVAL_S, lambda now: self.state.client_load.log_changes()
        )

    def _schedule_flush(self) -> None:
        self.timer.call_at(
            self.state.clock() + PROGRESS_DELAY_S,
            lambda now: self.placement_client.flush_progress(),
        )

    def _schedule_origins(self) -> None:
        is_stored = self.stream_origins.has_several_versions()
        delay_s = STORED_ORIGIN_DELAY_S if is_stored else ORIGIN_DELAY_S
        self.timer.call_at(
            self.state.clock() + delay_s,
            lambda now: self.stream_origins.flush(),
        )

    def _start_store_tasks(self) -> None:
        state = self.state
        for handlers in self.store_handlers.for_all_prefixes():
            self.spawn(self._watch_prefix(handlers))
        key = MEMBERS_PREFIX + self.state.member_id.node
        self.spawn(
            maintain_registration(
                self.store,
                key,
                self.membership.encode_entry(),
                self.state.store_eras,
                self.state.rng,
                on_registered=self.member_directory.request_read,
                lease_clock=state.boot_clock,
                on_lease=self._on_lease,
            )
        )
        self.spawn(self.member_directory.run())
        self.spawn(self.version_recorder.run())
        self.spawn(self.origin_log.run())
        self.spawn(self.quarantine_store.run())

    def _on_lease(self, lease: int, until_s: float) -> None:
        self.lease, self.state.lease_until_s = lease, until_s

    async def _end_registration(self) -> None:
        """Let the other members know at once that this one has ended."""
        if self.lease is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DEREGISTRATION_TIMEOUT_S):
                    await self.store.revoke_lease(self.lease)

    def _on_silent_connections(self, ended: int) -> None:
        """Discard the idle connections to targets, which are in doubt too."""
        closed = self.target_client.close_idle()
        log(EventNumber.CONNECTIONS_SILENT, ended=ended, closed=closed)

    def _on_member_entries(self, items: tuple[StoreItem, ...]) -> None:
        """Probe the registered members at once."""
        self.membership.probe_member_entries(items)
        if self.membership.unidentified_addresses:
            self.membership.send_heartbeats()

    async def _listen(self) -> None:
        settings = self.state.settings
        addresses = {
            Listener.READINESS: settings.readiness_address,
            Listener.CONTROL: settings.control_address,
            Listener.DIRECTORY: settings.directory_address,
        }
        for listener, address in addresses.items():
            await self._serve(self.control_servers[listener], address)
        await self._listen_for_metrics()
        await self._wait_for_first_sync()
        await self._serve(self.frontend_server, settings.front_address)

    async def _serve(self, server: ClientServer, address: str) -> None:
        loop = asyncio.get_running_loop()
        listening_socket = self.sockets[address]
        try:
            listening_socket.limit_buffers()
        except OSError as error:
            step = f"limit the buffers of {address}"
            log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
        listener = await loop.create_server(
            server, sock=listening_socket, backlog=ACCEPT_BATCH
        )
        self.listeners.append(listener)

    async def _wait_for_first_sync(self) -> None:
        """Wait until requests can be routed; clients wait in the backlog meanwhile."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_SYNC_TIMEOUT_S):
                await self.store_handlers.first_sync.wait()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_CONTACT_TIMEOUT_S):
                await self.membership.first_contact.wait()

    async def _listen_for_metrics(self) -> None:
        """Serve metrics if the port is free; requests do not depend on it."""
        loop = asyncio.get_running_loop()
        ip = self.state.settings.ip
        try:
            listener = await loop.create_server(
                self.metrics_server,
                sock=ListeningSocket.bind_to(ip, METRICS_PORT),
                backlog=ACCEPT_BATCH,
            )
        except OSError as error:
            step = f"listen for metrics at {ip}:{METRICS_PORT}"
            log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
            return
        self.listeners.insert(0, listener)

    async def _drain(self, schedule: DrainSchedule) -> None:
        """Stop being listed in look-ups and finish the pending requests.

        From now on, each response closes its connection. New connections and requests
        are accepted while clients may still use cached look-ups; after that, requests
        that may not end in time are refused and connections are closed as they become
        idle, until none is open or the grace period ends. An error in one step is
        logged and ends nothing else: requests are under way meanwhile.
        """
        state = self.state
        state.draining = True
        self.frontend.drain = schedule
        log(EventNumber.STOP_REQUESTED)
        attempt("announce drain", self.membership.announce_drain)
        # Again, because a datagram may be lost.
        self.timer.call_at(
            state.clock() + HEARTBEAT_INTERVAL_S,
            lambda now: self.membership.announce_drain(),
        )
        await asyncio.sleep(max(0.0, schedule.accept_until_s - state.clock()))
        # The listener for requests of clients, which `_listen` adds last.
        attempt("close listener", self.listeners[-1].close)
        attempt(
            "refuse late placements", lambda: self._refuse_late_placements(schedule)
        )
        await self._drain_until(schedule.answer_by_s)
        attempt("answer pending requests", self.frontend.answer_pending)
        await self._drain_until(schedule.end_s)
        pending = list(self.frontend.pending)
        attempt("log cut responses", lambda: log_cut(pending, schedule.requested_s))

    async def _drain_until(self, until_s: float) -> None:
        """Close connections as they become idle, until none is open or a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, until_s - self.state.clock())):
                await self.frontend_server.drain()

    def _refuse_late_placements(self, schedule: DrainSchedule) -> None:
        """Refuse the streams that wait for an engine and may not end in time.

        Those that were sent to an engine before go on waiting: they may have begun.
        """
        self.placement_client.refuse_waiting(
            lambda requirements: (
                not requirements.is_retry
                and not schedule.is_answered_in_time(requirements.deadline_s)
            ),
            STOPPING_RETRY_AFTER_S,
        )

    async def _close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=TASK_END_TIMEOUT_S)
        attempt("close peer endpoint", self.endpoint.close)
        for listener in self.listeners:
            attempt("close listener", listener.close)
        servers = (
            self.frontend_server,
            *self.control_servers.values(),
            self.metrics_server,
        )
        # Side by side, so that the process has exited when the platform would kill it.
        await asyncio.gather(
            attempt_async("end registration", self._end_registration),
            *map(_shut_down, servers),
        )
        await attempt_async("close target connections", self.target_client.close)
        await attempt_async("close member connections", self.session.close)
        await attempt_async("close store connections", self.store.close)

    def _enforce_client_limits(self) -> None:
        limits = None if self.state.table is None else self.state.table.limits
        header_timeout_s, body_timeout_s = (
            (DEFAULT_HEADER_TIMEOUT_S, DEFAULT_BODY_TIMEOUT_S)
            if limits is None
            else (limits.header_timeout_s, limits.idle_timeout_s)
        )
        self.frontend_server.enforce_header_timeout(header_timeout_s)
        for server in (*self.control_servers.values(), self.metrics_server):
            server.enforce_header_timeout(DEFAULT_HEADER_TIMEOUT_S)
        now = asyncio.get_running_loop().time()
        self.state.client_load.end_stalled(body_timeout_s, now)

    def _log_queue(self, now: float) -> None:
        broker = self.state.broker
        counts = broker.take_route_counts()
        cpu_s = time.process_time()
        used_s, self.logged_cpu_s = cpu_s - self.logged_cpu_s, cpu_s
        if not broker.queue:
            return
        services = {queued.request.service for queued in broker.queue.values()}
        runs, slots = broker.runs.occupancy(services, now)
        log(
            EventNumber.QUEUE_HELD,
            queued=len(broker.queue),
            runs=runs,
            slots=slots,
            routes="; ".join(
                f"{route} {count.submitted}/{count.granted}/{count.refused} "
                f"{broker.costs.average_s(route):.2f}"
                for route, count in sorted(counts.items())
            ),
            cpu_ms=round(used_s * 1e3),
            engines="; ".join(broker.runs.describe(now)),
        )

    def _handle_quarantine_changes(self, now: float) -> None:
        has_part_changes = log_part_changes(self.state.broker.crashes)
        has_content_changes = log_content_changes(self.state.request_quarantine)
        if has_part_changes or has_content_changes:
            self.quarantine_store.has_changes.set()

    def _discard_runs_of_absent_members(self, now: float) -> None:
        live_views = self.state.member_list.live_members(now, MEMBER_ABSENT_AFTER_S)
        live_nodes = {view.heartbeat.sender.node for view in live_views}
        self.state.broker.discard_absent(live_nodes | {self.state.member_id.node}, now)

    def _expire_targets(self, now: float) -> None:
        self.state.target_signals.expire(now)
        before = len(self.state.registry.entries)
        self.state.registry.expire(now)
        if len(self.state.registry.entries) != before:
            self.state.publish_targets()

    def _on_peer_message(self, message: Any) -> None:
        self.membership.on_message(message)

    def _on_peer_error(self, peer: str, detail: str) -> None:
        log(EventNumber.BAD_PEER_MESSAGE, peer=peer, detail=detail)


async def _shut_down(server: ClientServer) -> None:
    await attempt_async(
        "close connections", lambda: server.shutdown(SHUTDOWN_TIMEOUT_S)
    )


def run_gateway(
    settings: PlatformSettings, sockets: Mapping[str, ListeningSocket]
) -> None:
    """Run a gateway process on listening sockets until it is stopped."""

    async def main() -> None:
        daemon = GatewayDaemon.from_settings(settings, sockets, time.monotonic)
        await daemon.run()
        ignore_until_exit()

    asyncio.run(main())
