"""Replica of the configuration at one member, with anti-entropy between members.

The replica only moves to newer versions, whether they come from the key-value service
or from another member. Members learn each other's versions from heartbeats and request
the parts that they lack, so an outage of the service immediately after a change was
accepted does not delay its rollout.
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

# Time before a version that has not arrived is requested again.
CONFIGURATION_REQUEST_INTERVAL_S = 1.0
# Time for which a member with an older version waits for its watch on the key-value
# service before it requests the newer version from another member.
CONFIGURATION_REQUEST_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class InForceCount:
    """Rollout progress of a version, independent of its acceptance."""

    version: int
    # Number of live members that have this version or a newer one in force.
    members_in_force: int
    # Number of live members.
    live_members: int


def count_in_force(version: int, versions: Iterable[int]) -> InForceCount:
    """Count the live members, given by their versions, that have the version."""
    seen = tuple(versions)
    return InForceCount(version, sum(each >= version for each in seen), len(seen))


@dataclass(slots=True)
class ConfigurationReplica:
    """The newest configuration that this member has received."""

    member_id: MemberId
    configuration: Configuration = field(default_factory=Configuration)
    # Whether a configuration has been received since the process start, from the
    # key-value service or a member. An entry is not ready before that.
    ready: bool = False
    # When a newer version was first announced; None if no newer version is known.
    behind_since_s: float | None = None
    # Monotonic time of the last request for a newer version; None if there was none.
    requested_s: float | None = None
    # The version that was last requested.
    requested_version: int = 0

    @property
    def version(self) -> int:
        """Version of the configuration in force at this member."""
        return self.configuration.version

    def apply_if_newer(self, configuration: Configuration) -> bool:
        """Put the configuration in force if it is newer; return whether it was.

        The configuration read from the key-value service is empty if nothing has been
        published yet; the member is ready then, too.
        """
        self.ready = True
        if configuration.sort_key <= self.configuration.sort_key:
            return False
        self.configuration = configuration
        self.behind_since_s = None
        return True

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> list[SendMessage]:
        """Request the sender's configuration if it is newer.

        A member that is ready first waits for `CONFIGURATION_REQUEST_DELAY_S`, because
        its watch on the key-value service delivers the version sooner unless there is
        an outage.
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
        """Offer the configuration to a member that has an older version."""
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
        """Put an offered configuration in force if it is newer.

        Returns whether it was newer, or a fault if the offer is malformed.
        """
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
                    remedy="none: the offer is discarded and requested again",
                )
            )
        return Ok(self.apply_if_newer(configuration))
