"""Adapter to the users' platform: translates its names, formats and calls.

It contains no decision logic. Code outside this folder uses only the project's own
types, which a test enforces.
"""

from burdockhaven_entry.platform.client_request import (
    ClientRequest,
    MalformedRequestError,
    read_client_request,
    target_headers,
)
from burdockhaven_entry.platform.configuration import (
    ConfigurationError,
    read_configuration,
)
from burdockhaven_entry.platform.look_up import (
    LOOK_UP_PATH,
    READINESS_PATH,
    encode_look_up,
)
from burdockhaven_entry.platform.response_headers import (
    TargetResponseHead,
    client_headers,
    read_response_head,
    refusal_headers,
)
from burdockhaven_entry.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    SettingsError,
    read_settings,
)
from burdockhaven_entry.platform.store import (
    ChangeBatch,
    PlatformStore,
    StoreItem,
)
from burdockhaven_entry.platform.store_keys import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    MEMBERS_PREFIX,
    TARGETS_PREFIX,
)
from burdockhaven_entry.platform.target_entry import (
    TargetEntryError,
    read_target_entry,
)

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_PREFIX",
    "LOOK_UP_PATH",
    "MEMBERS_PREFIX",
    "READINESS_PATH",
    "SETTINGS_VARIABLE",
    "TARGETS_PREFIX",
    "ChangeBatch",
    "ClientRequest",
    "ConfigurationError",
    "StoreItem",
    "MalformedRequestError",
    "PlatformSettings",
    "PlatformStore",
    "SettingsError",
    "TargetResponseHead",
    "TargetEntryError",
    "client_headers",
    "encode_look_up",
    "read_response_head",
    "read_client_request",
    "read_configuration",
    "read_settings",
    "read_target_entry",
    "refusal_headers",
    "target_headers",
]
