"""Finds the origin of a stream that a client resumes, and spreads those of own streams.

A member that carries a stream sends its origin to a few backups, so that it survives
the member. Streams are resumed seldom, so the questions go to all members: that needs
no agreement on who keeps which origin. If no record is found, a stream waits for its
service's only version to be certain, as long as its client does.
"""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from result import Err, Ok, Result

from burdockhaven_core.key_value_failure import KeyValueFailure
from burdockhaven_core.resumption import origin_message, streams_of
from burdockhaven_core.scheduling.member_list import MemberView
from burdockhaven_core.scheduling.peer_messages import (
    FindOrigin,
    MemberId,
    OriginMessage,
    OriginReply,
    PeerMessage,
    RecordOrigins,
    StreamOrigin,
    VersionObservation,
)
from burdockhaven_core.scheduling.routing import Route
from burdockhaven_core.scheduling.stream_origins import (
    BACKUP_COUNT,
    NO_SOLE_VERSION,
    SoleVersion,
    StreamOrigins,
    pick_backups,
    sole_version,
    stream_key,
)
from burdockhaven_core.scheduling.version_records import (
    RecordReading,
    recorded_version,
)
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.origin_source import OriginSource
from burdockhaven_entry.platform import ClientRequest

# Seconds to wait for replies of other members before the question is sent once more.
REPLY_TIMEOUT_S = 0.06
# Times that a question is sent.
MAX_ATTEMPTS = 2
# Streams in one message, which stays below the size that fits into one packet.
MAX_STREAMS_PER_MESSAGE = 100
# Seconds between two looks, during a wait for a version to be certain, at whether it is
# still the only one.
VERSION_CHECK_INTERVAL_S = 0.1
# Seconds by which such a wait is longer, so that rounding doesn't begin another one.
ROUNDING_MARGIN_S = 0.001
# Retry-After in seconds if the origin of a stream is unknown and nothing is known that
# will make it certain: a member that was unreachable for a moment may know it.
UNKNOWN_ORIGIN_RETRY_S = 1.0
# Seconds before a failed read of the store is repeated.
STORE_RETRY_S = 0.1
# Seconds over which clients spread that may return once a version is certain.
CERTAIN_RETRY_SPREAD_S = 0.2


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """Where a stream may continue, and how that is known."""

    # None if it is not known.
    origin: StreamOrigin | None
    source: OriginSource
    # Seconds after which it may be known; 0 if it is.
    retry_after_s: float = 0.0


@dataclass(slots=True)
class _Question:
    """A question to other members."""

    # Nodes that reply in any case and have not yet.
    missing: set[str]
    # Whether no other nodes were asked.
    is_exhaustive: bool
    # What the members that have replied know of the versions.
    observations: list[VersionObservation]
    origin: StreamOrigin | None = None
    # Set when the origin is known or cannot become known.
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, reply: OriginReply) -> None:
        """Apply a reply."""
        self.missing.discard(reply.node)
        if reply.origin is not None:
            self.origin = reply.origin
        self.observations.append(reply.observation)
        if self.origin is not None or (self.is_exhaustive and not self.missing):
            self.done.set()


async def _find_no_record(
    service: str,
) -> Result[RecordReading | None, KeyValueFailure]:
    return Ok(None)


async def _find_no_origin(key: int) -> Result[StreamOrigin | None, KeyValueFailure]:
    return Ok(None)


@dataclass(slots=True)
class StreamOriginDirectory:
    """Records and finds the origins of streams, here and at other members."""

    state: GatewayState
    # Sends a message to the member on the given node.
    send: Callable[[str, PeerMessage], None]
    # Called when there are origins to send to the backups by `flush`.
    on_pending: Callable[[], None] = lambda: None
    # Reads which versions of a service have served; None if that is not recorded.
    find_record: Callable[
        [str], Awaitable[Result[RecordReading | None, KeyValueFailure]]
    ] = _find_no_record
    # Reads the origin of a stream from the store; None if it is not there.
    find_stored: Callable[
        [int], Awaitable[Result[StreamOrigin | None, KeyValueFailure]]
    ] = _find_no_origin
    # Writes origins to the store; called at the broker only.
    store_origins: Callable[[Mapping[int, StreamOrigin]], None] = lambda streams: None
    # Node of the broker that has all origins carried here; "" if it needs none.
    informed_broker: str = ""
    pending: dict[int, StreamOrigin] = field(default_factory=dict)
    # Streams that this member carries or has carried, for backups that are new.
    carried: StreamOrigins = field(default_factory=StreamOrigins)
    backups: list[MemberId] = field(default_factory=list)
    questions: dict[int, _Question] = field(default_factory=dict)
    # Questions about the versions of a service, shared by the streams that wait.
    version_questions: dict[str, asyncio.Task[_Question]] = field(default_factory=dict)
    last_number: int = 0

    def record(self, client_request: ClientRequest, origin: StreamOrigin) -> None:
        """Record the origin of a stream whose first event is sent to the client.

        Clients name the attempt that brought the first event, also after several
        attempts, so its record is renewed by each.
        """
        now = self.state.clock()
        was_empty = not self.pending
        for attempt_id in (
            client_request.attempt_id,
            client_request.resumed_attempt_id,
        ):
            if attempt_id is not None:
                key = stream_key(attempt_id)
                self._record(key, origin, now)
                self.carried.record(key, origin, now)
                self.pending[key] = origin
        if was_empty:
            self.on_pending()

    def _record(self, key: int, origin: StreamOrigin, now: float) -> None:
        self.state.stream_origins.record(key, origin, now)
        # The target that began the stream may be unknown here.
        self.state.version_history.observe(origin.service, origin.software_version, now)

    def flush(self) -> None:
        """Send the origins recorded since the last call to the backups.

        A new backup, or one that has started again, gets all that may still be needed.
        """
        pending, self.pending = self.pending, {}
        self.carried.ttl_s = self.state.stream_origins.ttl_s
        before = set(self.backups)
        self._select_backups()
        for backup in self.backups:
            streams = pending
            if backup not in before:
                streams = self.carried.items(self.state.clock())
            self._send_origins(backup.node, streams)
        self._inform_broker(pending)

    def _inform_broker(self, pending: Mapping[int, StreamOrigin]) -> None:
        """Let the broker write what may be needed after a start of all members.

        That is nothing while each service has a single software version.
        """
        before, self.informed_broker = self.informed_broker, ""
        if not self.has_several_versions():
            return
        broker = self._broker()
        if not broker:
            return
        self.informed_broker = broker
        if broker != before:
            pending = self.carried.items(self.state.clock())
        if self._is_broker():
            self._store(pending)
        elif broker == before and broker in {backup.node for backup in self.backups}:
            # It has received them as a backup.
            return
        else:
            self._send_origins(broker, pending)

    def _broker(self) -> str:
        state = self.state
        return state.member_list.broker(state.clock(), state.heartbeat_head())

    def _is_broker(self) -> bool:
        return self._broker() == self.state.member_id.node

    def has_several_versions(self) -> bool:
        """Whether a service has had several software versions in the resume window."""
        services = {service for service, _ in self._recent_versions()}
        return len(services) < len(self._recent_versions())

    def _recent_versions(self) -> set[tuple[str, str]]:
        return self.state.version_history.recent(
            self.state.stream_origins.ttl_s, self.state.clock()
        )

    def _store(self, streams: Mapping[int, StreamOrigin]) -> None:
        """Write the origins of streams that began at one of several versions."""
        services = [service for service, _ in self._recent_versions()]
        self.store_origins(
            {
                key: origin
                for key, origin in streams.items()
                if services.count(origin.service) > 1
            }
        )

    def _send_origins(self, node: str, streams: Mapping[int, StreamOrigin]) -> None:
        items = list(streams.items())
        for start in range(0, len(items), MAX_STREAMS_PER_MESSAGE):
            part = dict(items[start : start + MAX_STREAMS_PER_MESSAGE])
            self.send(node, origin_message(part))

    async def find(
        self,
        client_request: ClientRequest,
        route: Route,
        service: str,
        latest_s: float,
    ) -> FoundOrigin:
        """Return the origin of the stream that a client resumes at the service.

        Waits for it to be certain, but not if that is later than `latest_s`. If the
        route has moved to another service since, the software version counts.
        """
        found = await self._find(client_request, service, latest_s)
        origin = found.origin
        if origin is not None and all(
            share.service != origin.service for share in route.shares
        ):
            origin = StreamOrigin(service, origin.software_version)
        return dataclasses.replace(found, origin=origin)

    async def _find(
        self, client_request: ClientRequest, service: str, latest_s: float
    ) -> FoundOrigin:
        key = 0
        if client_request.resumed_attempt_id is not None:
            key = stream_key(client_request.resumed_attempt_id)
        own = self._find_own(key)
        if own is not None:
            return FoundOrigin(own, OriginSource.OWN)
        question = await self._ask_members(key, service)
        if question.origin is None:
            found = await self._find_in_store(key, service, question, latest_s)
            if found is not None:
                return found
        while question.origin is None:
            sole = self._sole_version(service, question)
            if sole.is_certain:
                return _found_sole_version(service, sole)
            certain_s = self.state.clock() + sole.certain_in_s + ROUNDING_MARGIN_S
            is_sole = certain_s <= latest_s and (
                await self._wait_while_sole(service, sole, certain_s)
            )
            own = self._find_own(key)
            if own is not None:
                return FoundOrigin(own, OriginSource.OWN)
            if not is_sole:
                retry_after_s = self._retry_after_s(service, sole)
                return FoundOrigin(None, OriginSource.UNKNOWN, retry_after_s)
            question = await self._ask_about_versions(service)
        return FoundOrigin(question.origin, OriginSource.MEMBER)

    def _find_own(self, key: int) -> StreamOrigin | None:
        if not key:
            return None
        return self.state.stream_origins.find(key, self.state.clock())

    def _sole_version(self, service: str, question: _Question) -> SoleVersion:
        return sole_version(
            [self._observe(service), *question.observations],
            self.state.stream_origins.ttl_s,
            are_all_heard=not question.missing,
        )

    async def _find_in_store(
        self, key: int, service: str, question: _Question, latest_s: float
    ) -> FoundOrigin | None:
        """Return what the store tells of a stream; None if it tells nothing.

        A read that fails is repeated as long as the client waits. It isn't taken for
        a missing record, which would let the versions present now decide.
        """
        while True:
            recorded = await self._recorded_version(service, question)
            if isinstance(recorded, Ok):
                sole = recorded.ok_value
                if sole is not None and sole.is_certain:
                    return _found_sole_version(service, sole)
                stored = await self.find_stored(key) if key else Ok(None)
                if isinstance(stored, Ok):
                    if stored.ok_value is not None:
                        return FoundOrigin(stored.ok_value, OriginSource.STORE)
                    if sole is None:
                        return None
                    return _found_sole_version(service, sole)
            retry_s = self.state.clock() + STORE_RETRY_S
            if retry_s > latest_s:
                retry_after_s = UNKNOWN_ORIGIN_RETRY_S
                return FoundOrigin(None, OriginSource.UNKNOWN, retry_after_s)
            await asyncio.sleep(STORE_RETRY_S)

    async def _recorded_version(
        self, service: str, question: _Question
    ) -> Result[SoleVersion | None, KeyValueFailure]:
        """Return what the record of the service says; None if it doesn't help."""
        observations = [self._observe(service), *question.observations]
        observed = {version for seen in observations for version in seen.versions}
        if len(observed) > 1:
            return Ok(NO_SOLE_VERSION)
        reading = await self.find_record(service)
        if isinstance(reading, Err):
            return reading
        if reading.ok_value is None:
            return Ok(None)
        observed.update(self._observe(service).versions)
        return Ok(recorded_version(reading.ok_value, frozenset(observed)))

    async def _wait_while_sole(
        self, service: str, sole: SoleVersion, until_s: float
    ) -> bool:
        """Wait; False at once if this member sees another version meanwhile."""
        while self._is_sole(service, sole):
            left_s = until_s - self.state.clock()
            if left_s <= 0.0:
                return True
            await asyncio.sleep(min(left_s, VERSION_CHECK_INTERVAL_S))
        return False

    def _is_sole(self, service: str, sole: SoleVersion) -> bool:
        return {sole.software_version}.issuperset(self._observe(service).versions)

    def _retry_after_s(self, service: str, sole: SoleVersion) -> float:
        if math.isinf(sole.certain_in_s) or not self._is_sole(service, sole):
            return UNKNOWN_ORIGIN_RETRY_S
        spread_s = self.state.rng.uniform(0.0, CERTAIN_RETRY_SPREAD_S)
        return sole.certain_in_s + ROUNDING_MARGIN_S + spread_s

    async def _ask_about_versions(self, service: str) -> _Question:
        """Ask for the versions of a service, once for all streams that ask now."""
        task = self.version_questions.get(service)
        if task is None:
            task = asyncio.create_task(self._ask_members(0, service))
            self.version_questions[service] = task
            task.add_done_callback(lambda _: self.version_questions.pop(service))
        # The other streams need the answer also if this one is cancelled.
        return await asyncio.shield(task)

    def on_message(self, message: OriginMessage) -> None:
        """Handle a message of another member."""
        now = self.state.clock()
        match message:
            case RecordOrigins():
                streams = streams_of(message)
                for key, origin in streams.items():
                    self._record(key, origin, now)
                if self.has_several_versions() and self._is_broker():
                    self._store(streams)
            case FindOrigin():
                self._reply(message, now)
            case OriginReply():
                question = self.questions.get(message.number)
                if question is not None:
                    question.add(message)

    def _reply(self, message: FindOrigin, now: float) -> None:
        origin = self.state.stream_origins.find(message.key, now)
        if origin is None and not message.always_reply:
            return
        observation = self._observe(message.service)
        node = self.state.member_id.node
        reply = OriginReply(node, message.number, origin, observation)
        self.send(message.sender.node, reply)

    def _observe(self, service: str) -> VersionObservation:
        now = self.state.clock()
        history = self.state.version_history
        window_s = self.state.stream_origins.ttl_s
        versions = history.versions_within(service, window_s, now)
        complete_for_s = history.complete_for_s(now) if self.state.in_sync else 0.0
        return VersionObservation(tuple(versions), complete_for_s)

    async def _ask_members(self, key: int, service: str) -> _Question:
        """Ask all members; returns when one knows, or none can be expected to."""
        now = self.state.clock()
        member_list = self.state.member_list
        live_nodes = {view.node for view in member_list.live_members(now)}
        # In a large cluster the hubs know of every target; the others reply only if
        # they know the stream.
        informed = live_nodes & set(member_list.hubs) or live_nodes
        nodes = live_nodes if key else informed
        question = _Question(set(informed), nodes == informed, [])
        self.last_number += 1
        # Unlike those of an earlier start, whose replies may still arrive.
        number = self.state.member_id.incarnation + self.last_number
        self.questions[number] = question
        try:
            for _ in range(MAX_ATTEMPTS):
                for node in nodes:
                    if node in question.missing or node not in informed:
                        self._ask(node, number, key, service, node in informed)
                if nodes:
                    await _wait(question.done, REPLY_TIMEOUT_S)
                if question.done.is_set():
                    break
        finally:
            del self.questions[number]
        return question

    def _ask(
        self, node: str, number: int, key: int, service: str, always_reply: bool
    ) -> None:
        sender = self.state.member_id
        self.send(node, FindOrigin(sender, number, key, service, always_reply))

    def _select_backups(self) -> None:
        """Replace the backups if one of them has timed out or more are available."""
        views: list[MemberView] = self.state.member_list.live_members(
            self.state.clock()
        )
        live = {view.heartbeat.sender for view in views if not view.heartbeat.draining}
        if len(self.backups) < min(BACKUP_COUNT, len(live)) or not (
            live.issuperset(self.backups)
        ):
            zone = self.state.settings.zone
            self.backups = pick_backups(self.state.member_id.node, zone, views)


def _found_sole_version(service: str, sole: SoleVersion) -> FoundOrigin:
    if not sole.is_certain:
        return FoundOrigin(None, OriginSource.UNKNOWN, UNKNOWN_ORIGIN_RETRY_S)
    origin = StreamOrigin(service, sole.software_version)
    return FoundOrigin(origin, OriginSource.SOLE_VERSION)


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    task = asyncio.ensure_future(event.wait())
    try:
        await asyncio.wait({task}, timeout=timeout_s)
    finally:
        task.cancel()
