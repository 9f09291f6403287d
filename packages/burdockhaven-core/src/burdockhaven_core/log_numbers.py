"""Stable numbers of the log events; a number is never reused for another event.

The numbers are defined here because `LogEvent` actions carry them. Levels, messages and
fields are defined in the daemon's catalogue, `burdockhaven_entry.log_catalogue`.
"""

import enum


@enum.unique
class EventNumber(enum.IntEnum):
    """Number of each kind of log event; the hundreds group them by subject."""

    # The process.
    START = 101
    READY = 102
    STOP_REQUESTED = 103
    STOPPED = 104
    SETTINGS_FAULT = 105
    LIBRARY_MESSAGE = 106
    RESPONSES_CUT = 107

    # Other members.
    BAD_PEER_MESSAGE = 201
    PEER_LOST = 202
    PEER_JOINED = 203
    BROKER_SUSPECTED = 204
    BROKER_CHANGED = 205
    MEMBERS_UNHEARD = 206
    MEMBER_REMOVED = 207
    QUOTA_SHARE_CHANGED = 208

    # Requests and runs.
    REQUEST_REFUSED = 301
    RUN_LOST = 302
    RUN_FINISHED = 303
    ASSIGNMENT_FORGED = 304
    REQUEST_MALFORMED = 305
    REQUEST_ANSWERED = 306
    REQUEST_TURNED_AWAY = 307

    # Configuration and the platform's services.
    CONFIGURATION_IN_FORCE = 401
    CONFIGURATION_OLDER_IGNORED = 402
    KEY_VALUE_OUTAGE_BEGIN = 403
    KEY_VALUE_OUTAGE_END = 404
    CONFIGURATION_WRITTEN_BACK = 405
    CONFIGURATION_UNREADABLE = 406
    OPERATOR_CHANGE = 407
    OPERATOR_REFUSED = 408
    MEMBER_LEASE_LOST = 409
    STORE_ERA_RAISED = 410
    STORE_RESTORED = 411
    STORE_ERA_UNREADABLE = 412
    VERSIONS_RECORDED = 413
    VERSIONS_UNREADABLE = 414
    ORIGINS_WRITTEN = 415
    ORIGINS_NOT_WRITTEN = 416
    ORIGINS_UNREADABLE = 417
    CONNECTIONS_SILENT = 418

    # Targets.
    TARGET_LEAVING = 501
    TARGET_STRAGGLING = 502
    ORDERS_TAKEN = 503
    ORDER_DONE = 504
    ORDER_FAILED = 505
    TARGET_ENTRY_UNREADABLE = 506
    TARGET_LIMIT_CHANGED = 507
    TARGET_LIMIT_UNREADABLE = 508
    TARGET_TOLD_LEAVING = 509
    TARGET_STARTED_ANEW = 510
    TARGET_SIGNAL_UNREADABLE = 511
    TARGET_PAUSED = 512
    TARGET_PAUSE_ENDED = 513
    RESPONSE_HEADER_UNKNOWN = 514
    CONNECTION_TRIED_AGAIN = 515
    TARGET_PACED = 516
    TARGET_PACE_ENDED = 517
    TARGET_ENTRY_REMOVED_ELSEWHERE = 518
    TARGET_ENTRY_RETURNED_ELSEWHERE = 519

    # Tier admission.
    FLOOR_CLOSED = 601
    FLOOR_OPENED = 602
    QUEUE_HELD = 603

    # Prompts beneath which engines end.
    PROMPT_PART_ACCUSED = 701
    PROMPT_PART_QUARANTINED = 702
    PROMPT_PART_ACQUITTED = 703

    # Requests beneath which targets end.
    REQUEST_ACCUSED = 704
    REQUEST_QUARANTINED = 705
    REQUEST_ACQUITTED = 706
    QUARANTINE_UNREADABLE = 707

    # Faults of the program itself.
    INTERNAL_ERROR = 901
