"""A member's own copy of the configuration.

The copy only ever moves to a newer version, whoever offers it: the key-value service
or another member. Members learn each other's versions from heartbeats and ask for what
they lack, so an outage of the service right after a change was accepted delays nothing.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from burdockhaven_core.actions import SendMessage
from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_check import Fault
from burdockhaven_core.configuration_parts import (
    decode_offer,
    encode_offer,
    part_digests,
)
from burdockhaven_core.identity import MemberId
from burdockhaven_core.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    Heartbeat,
)

# Seconds before a member is asked again for a version it has not sent.
CONFIGURATION_REQUEST_INTERVAL_S = 1.0
# Seconds for which a member that is behind leaves it to its watch.
CONFIGURATION_REQUEST_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class InForceCount:
    """How far a version has spread; acceptance is another matter."""

    version: int
    # Members that have this version or a newer one in force.
    members_in_force: int
    # Members that are live.
    live_members: int


def count_in_force(version: int, versions: Iterable[int]) -> InForceCount:
    """How many of the live members, whose versions are given, have the version."""
    seen = tuple(versions)
    return InForceCount(version, sum(each >= version for each in seen), len(seen))


@dataclass(slots=True)
class ConfigurationReplica:
    """The newest configuration that this member has seen."""

    member_id: MemberId
    configuration: Configuration = field(default_factory=Configuration)
    # Whether the key-value service or a member has told a configuration since the
    # process started. An entry that knows none is not ready.
    ready: bool = False
    # When a newer version was first heard of; None while there is none.
    behind_since_s: float | None = None
    # When a newer version was last asked for, in monotonic seconds; None if never.
    requested_s: float | None = None
    # The version asked for at that time.
    requested_version: int = 0

    @property
    def version(self) -> int:
        """The version in force at this member."""
        return self.configuration.version

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put the configuration in force if it is newer; whether it was.

        The key-value service may give an empty configuration: nothing was published
        yet. The member then knows that and is ready.
        """
        self.ready = True
        if configuration.sort_key <= self.configuration.sort_key:
            return False
        self.configuration = configuration
        self.behind_since_s = None
        return True

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[SendMessage]:
        """Ask the sender for its configuration if it has a newer version.

        A member that is ready first waits a moment: its watch on the key-value service
        tells it sooner, unless there is an outage.
        """
        version = heartbeat.config_version
        if version <= self.version:
            return []
        if self.behind_since_s is None:
            self.behind_since_s = now
        if self.ready and now < self.behind_since_s + CONFIGURATION_REQUEST_DELAY_S:
            return []
        pending = (
            self.requested_s is not None
            and now < self.requested_s + CONFIGURATION_REQUEST_INTERVAL_S
        )
        if pending and version <= self.requested_version:
            return []
        self.requested_s = now
        self.requested_version = version
        sender = MemberId(heartbeat.entry, heartbeat.incarnation)
        request = ConfigurationRequest(
            self.member_id.entry,
            self.member_id.incarnation,
            self.version,
            part_digests(self.configuration),
        )
        return [SendMessage(sender, request)]

    def on_request(
        self, sender: MemberId, request: ConfigurationRequest
    ) -> list[SendMessage]:
        """Send the configuration to a member that has an older one."""
        if not self.ready or self.version <= request.held_version:
            return []
        offer = ConfigurationOffer(
            self.member_id.entry,
            self.member_id.incarnation,
            self.version,
            encode_offer(self.configuration, request.digests),
        )
        return [SendMessage(sender, offer)]

    def on_offer(self, offer: ConfigurationOffer) -> Result[bool, Fault]:
        """Put an offered configuration in force if it is newer; whether it was."""
        decoded = decode_offer(offer.body, self.configuration)
        if isinstance(decoded, Err):
            return Err(decoded.err_value)
        configuration = decoded.ok_value
        if configuration.version != offer.version:
            return Err(
                Fault(
                    path="offer.version",
                    seen=str(offer.version),
                    allowed=f"{configuration.version}, the version of the body",
                    remedy="none: the offer is dropped and asked for again",
                )
            )
        return Ok(self.apply_if_newer(configuration))
