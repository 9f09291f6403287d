"""Keys of the platform's store."""

CONFIGURATION_KEY = "op/config"
CONFIGURATION_PREFIX = "op/"
TARGETS_PREFIX = "servers/"
# Where the daemons write; the platform leaves the name to us.
MEMBERS_PREFIX = "burdockhaven/members/"
