"""The daemon process: constructs and connects its parts, starts and stops them."""

import asyncio
import contextlib
import random
import secrets
import signal
from collections.abc import Callable

from result import Ok

from burdockhaven_core.entry import Entry
from burdockhaven_core.entry_state import EntryParameters
from burdockhaven_core.events import (
    MessageArrived,
    StopRequested,
    Tick,
)
from burdockhaven_core.identity import EntryName, Incarnation, MemberId
from burdockhaven_core.load_polling import targets_to_poll
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.messages import PeerMessage
from burdockhaven_entry.admin_api import admin_app
from burdockhaven_entry.admin_reports import (
    admin_view,
    highest_known_version,
    is_first_member,
)
from burdockhaven_entry.caller_api import caller_app
from burdockhaven_entry.configuration_sync import ConfigurationSync
from burdockhaven_entry.http_server import HttpServer
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_entry.log_events import log
from burdockhaven_entry.member_lease import MemberLease
from burdockhaven_entry.message_mac import derive_key
from burdockhaven_entry.metrics import Metrics
from burdockhaven_entry.metrics_page import metrics_handler
from burdockhaven_entry.order_dispatcher import OrderDispatcher
from burdockhaven_entry.peer_transport import PeerTransport, PeerTransportError
from burdockhaven_entry.settings import EntrySettings
from burdockhaven_entry.shell import Shell
from burdockhaven_entry.timer import TimerService
from burdockhaven_entry.vm_list_client import POLL_INTERVAL_S, VmListClient

# Seconds between ticks, the events that let the core act on elapsed time.
TICK_INTERVAL_S = 0.05
# Seconds between polls of a target's load.
LOAD_POLL_INTERVAL_S = 1.0
# Seconds between checks for orders that are due.
ORDER_CHECK_INTERVAL_S = 1.0
# Seconds for which a stop waits for callers to read completed answers.
CALLER_DRAIN_TIMEOUT_S = 30.0
# Largest fraction by which intervals of network calls are randomly shortened.
JITTER = 0.2
INCARNATION_BYTES = 16
MS_PER_S = 1_000.0


class Daemon:
    """The parts of one daemon process."""

    def __init__(
        self, settings: EntrySettings, parameters: EntryParameters, shell: Shell
    ) -> None:
        rng = random.SystemRandom()
        self.settings = settings
        self.parameters = parameters
        self.shell = shell
        self.timer = TimerService(shell.clock, rng)
        self.kv_client = KvClient.from_url(settings.key_value_url, rng)
        self.kv_client.on_call = shell.metrics.record_key_value_call
        self.configuration_sync = ConfigurationSync(
            self.kv_client,
            current=lambda: shell.entry.state.configuration,
            highest_known_version=lambda: highest_known_version(
                shell.entry.state, shell.clock()
            ),
            report=shell.handle_event,
        )
        self.member_lease = MemberLease(
            self.kv_client,
            parameters.member_id,
            parameters.peer_address,
            shell.handle_event,
            shell.clock,
        )
        self.order_dispatcher = OrderDispatcher(
            self.kv_client,
            self.member_lease,
            lambda: is_first_member(shell.entry.state, shell.clock()),
            shell.clock,
        )
        self.vm_list_client = VmListClient.from_url(settings.vm_list_url)
        self.peer_transport = PeerTransport.from_config(
            parameters.member_id,
            str(settings.peer_address),
            derive_key(parameters.assignment_key),
            self._on_message,
            self._on_peer_error,
        )
        self.caller_server = HttpServer(
            caller_app(shell, settings.max_body_bytes), settings.caller_address
        )
        self.admin_server = HttpServer(
            admin_app(
                admin_view(shell.entry.state, shell.clock),
                self.configuration_sync,
                settings.operator_token.reveal(),
                (metrics_handler(shell.metrics),),
            ),
            settings.admin_address,
        )

    @classmethod
    def from_config(
        cls, settings: EntrySettings, clock: Callable[[], float]
    ) -> "Daemon":
        """Create a daemon that has bound its HTTP addresses and sent nothing yet."""
        incarnation = Incarnation(secrets.token_hex(INCARNATION_BYTES))
        parameters = EntryParameters(
            member_id=MemberId(EntryName(settings.name), incarnation),
            zone=settings.zone,
            caller_address=str(settings.caller_address),
            peer_address=str(settings.peer_address),
            assignment_key=settings.assignment_key.reveal().encode(),
            assignment_lifetime_s=settings.assignment_lifetime_s,
            heartbeat_interval_s=settings.heartbeat_interval_ms / MS_PER_S,
            member_timeout_s=settings.member_timeout_ms / MS_PER_S,
            max_queue=settings.max_queue,
        )
        entry = Entry.from_config(parameters, random.SystemRandom(), clock())
        return cls(settings, parameters, Shell(entry, Metrics(), clock))

    async def run(self) -> None:
        """Serve until a stop is requested and all requests have been drained."""
        member_id = self.parameters.member_id
        log(EventNumber.START, entry=member_id.entry, incarnation=member_id.incarnation)
        self._install_signal_handlers()
        self.peer_transport.open()
        self.shell.send = self.peer_transport.send
        self._schedule_tasks()
        timer = asyncio.create_task(self.timer.run())
        self.caller_server.start()
        self.admin_server.start()
        address = str(self.caller_server.address)
        log(EventNumber.READY, entry=member_id.entry, address=address)
        print(f"ready {member_id.entry}", flush=True)
        await self.shell.stopped.wait()
        await self._drain_callers()
        await self.order_dispatcher.close()
        await self.member_lease.revoke()
        await self.caller_server.stop()
        await self.admin_server.stop()
        self.timer.stop()
        await timer
        await self._close()
        log(EventNumber.STOPPED)

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.shell.handle_event, StopRequested())

    def _schedule_tasks(self) -> None:
        self.timer.subscribe(
            TICK_INTERVAL_S, lambda now: self.shell.handle_event(Tick())
        )
        self.timer.subscribe(
            LOAD_POLL_INTERVAL_S, lambda now: self._poll_loads(), jitter=JITTER
        )
        self.timer.subscribe(
            POLL_INTERVAL_S,
            lambda now: self.shell.spawn(self._read_vm_list()),
            jitter=JITTER,
        )
        self.timer.subscribe(
            ORDER_CHECK_INTERVAL_S, lambda now: self._send_due_orders(), jitter=JITTER
        )
        self.shell.spawn(self.configuration_sync.run())
        self.shell.spawn(self._renew_lease())

    async def _renew_lease(self) -> None:
        delay_s = await self.member_lease.renew()
        await self.order_dispatcher.renew()
        if not self.shell.stopped.is_set():
            due = self.shell.clock() + delay_s
            self.timer.call_at(due, lambda now: self.shell.spawn(self._renew_lease()))

    def _send_due_orders(self) -> None:
        for order in self.order_dispatcher.due_orders(
            self.shell.entry.state.configuration
        ):
            self.shell.spawn(self.order_dispatcher.send(order))

    def _poll_loads(self) -> None:
        state = self.shell.entry.state
        for target in targets_to_poll(state, self.shell.clock()):
            self.shell.spawn(self.shell.run_client.poll_load(target))

    async def _read_vm_list(self) -> None:
        read = await self.vm_list_client.read()
        if isinstance(read, Ok):
            self.shell.handle_event(read.ok_value)

    def _on_message(self, sender: MemberId, message: PeerMessage) -> None:
        self.shell.handle_event(MessageArrived(sender, message))

    def _on_peer_error(self, error: PeerTransportError) -> None:
        detail = f"{error.step}: {error.detail}"
        log(EventNumber.BAD_PEER_MESSAGE, peer=error.peer, detail=detail)

    async def _drain_callers(self) -> None:
        """Wait for callers to read completed answers, up to a time limit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CALLER_DRAIN_TIMEOUT_S):
                await self.shell.no_open_exchanges.wait()

    async def _close(self) -> None:
        await self.peer_transport.close()
        await self.shell.close()
        await self.vm_list_client.close()
        await self.kv_client.close()
