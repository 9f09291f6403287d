"""Adapter to the users' platform: translates its names, formats and calls.

It contains no decision logic. Code outside this folder uses only the project's own
types, which a test enforces.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from burdockhaven_entry.platform.client_request import (
        ClientRequest,
        MalformedRequestError,
        parse_prompt_parts,
        read_client_request,
        target_headers,
    )
    from burdockhaven_entry.platform.configuration import (
        ConfigurationError,
        read_configuration,
    )
    from burdockhaven_entry.platform.decode_errors import DECODE_ERRORS
    from burdockhaven_entry.platform.look_up import (
        LOOK_UP_PATH,
        READINESS_PATH,
        encode_look_up,
    )
    from burdockhaven_entry.platform.response_body import read_body_up_to
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
    from burdockhaven_entry.platform.single_value_headers import SINGLE_VALUE_HEADERS
    from burdockhaven_entry.platform.store import (
        MAX_TRANSACTION_CHANGES,
        ChangeBatch,
        PlatformStore,
        StoreItem,
        StoreRevision,
    )
    from burdockhaven_entry.platform.store_keys import (
        CONFIGURATION_KEY,
        CONFIGURATION_PREFIX,
        MEMBERS_PREFIX,
        ORIGINS_PREFIX,
        QUARANTINE_PREFIX,
        QUARANTINED_PARTS_PREFIX,
        TARGETS_PREFIX,
        VERSIONS_PREFIX,
    )
    from burdockhaven_entry.platform.target_entry import (
        TargetEntryError,
        read_target_entry,
    )
    from burdockhaven_entry.platform.whole_number import parse_whole_number

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_PREFIX",
    "DECODE_ERRORS",
    "LOOK_UP_PATH",
    "MAX_TRANSACTION_CHANGES",
    "MEMBERS_PREFIX",
    "ORIGINS_PREFIX",
    "QUARANTINED_PARTS_PREFIX",
    "QUARANTINE_PREFIX",
    "READINESS_PATH",
    "SETTINGS_VARIABLE",
    "SINGLE_VALUE_HEADERS",
    "TARGETS_PREFIX",
    "VERSIONS_PREFIX",
    "ChangeBatch",
    "ClientRequest",
    "ConfigurationError",
    "StoreItem",
    "StoreRevision",
    "MalformedRequestError",
    "PlatformSettings",
    "PlatformStore",
    "SettingsError",
    "TargetResponseHead",
    "TargetEntryError",
    "client_headers",
    "encode_look_up",
    "parse_prompt_parts",
    "parse_whole_number",
    "read_body_up_to",
    "read_response_head",
    "read_client_request",
    "read_configuration",
    "read_settings",
    "read_target_entry",
    "refusal_headers",
    "target_headers",
]

# Module of each public name. Names are imported lazily, on first access, so that a
# start reads its settings and opens its sockets before it imports the HTTP library.
_MODULES = {
    "CONFIGURATION_KEY": "burdockhaven_entry.platform.store_keys",
    "CONFIGURATION_PREFIX": "burdockhaven_entry.platform.store_keys",
    "ChangeBatch": "burdockhaven_entry.platform.store",
    "ClientRequest": "burdockhaven_entry.platform.client_request",
    "ConfigurationError": "burdockhaven_entry.platform.configuration",
    "DECODE_ERRORS": "burdockhaven_entry.platform.decode_errors",
    "LOOK_UP_PATH": "burdockhaven_entry.platform.look_up",
    "MAX_TRANSACTION_CHANGES": "burdockhaven_entry.platform.store",
    "MEMBERS_PREFIX": "burdockhaven_entry.platform.store_keys",
    "MalformedRequestError": "burdockhaven_entry.platform.client_request",
    "ORIGINS_PREFIX": "burdockhaven_entry.platform.store_keys",
    "QUARANTINED_PARTS_PREFIX": "burdockhaven_entry.platform.store_keys",
    "QUARANTINE_PREFIX": "burdockhaven_entry.platform.store_keys",
    "PlatformSettings": "burdockhaven_entry.platform.settings",
    "PlatformStore": "burdockhaven_entry.platform.store",
    "READINESS_PATH": "burdockhaven_entry.platform.look_up",
    "SETTINGS_VARIABLE": "burdockhaven_entry.platform.settings",
    "SINGLE_VALUE_HEADERS": "burdockhaven_entry.platform.single_value_headers",
    "SettingsError": "burdockhaven_entry.platform.settings",
    "StoreItem": "burdockhaven_entry.platform.store",
    "StoreRevision": "burdockhaven_entry.platform.store",
    "TARGETS_PREFIX": "burdockhaven_entry.platform.store_keys",
    "VERSIONS_PREFIX": "burdockhaven_entry.platform.store_keys",
    "TargetEntryError": "burdockhaven_entry.platform.target_entry",
    "TargetResponseHead": "burdockhaven_entry.platform.response_headers",
    "client_headers": "burdockhaven_entry.platform.response_headers",
    "encode_look_up": "burdockhaven_entry.platform.look_up",
    "parse_prompt_parts": "burdockhaven_entry.platform.client_request",
    "parse_whole_number": "burdockhaven_entry.platform.whole_number",
    "read_body_up_to": "burdockhaven_entry.platform.response_body",
    "read_client_request": "burdockhaven_entry.platform.client_request",
    "read_configuration": "burdockhaven_entry.platform.configuration",
    "read_response_head": "burdockhaven_entry.platform.response_headers",
    "read_settings": "burdockhaven_entry.platform.settings",
    "read_target_entry": "burdockhaven_entry.platform.target_entry",
    "refusal_headers": "burdockhaven_entry.platform.response_headers",
    "target_headers": "burdockhaven_entry.platform.client_request",
}


def __getattr__(name: str) -> Any:
    """Import a public name on first access."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES[name]), name)
