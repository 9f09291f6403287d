"""How the origin of a resumed stream became known."""

import enum


class OriginSource(enum.StrEnum):
    """Source of an origin, as logged and counted."""

    # This member recorded it.
    OWN = "own"
    # Another member replied with it.
    MEMBER = "member"
    # It was kept in the store, which a start of all members leaves intact.
    STORE = "store"
    # The service has had a single software version while the stream may have begun.
    SOLE_VERSION = "sole_version"
    # Nobody knows it.
    UNKNOWN = "unknown"
