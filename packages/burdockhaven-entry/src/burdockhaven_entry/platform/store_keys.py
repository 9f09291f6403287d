"""Keys and prefixes in the platform's store."""

CONFIGURATION_KEY = "op/config"
CONFIGURATION_PREFIX = "op/"
TARGETS_PREFIX = "servers/"
# Prefix of the members' own entries; the platform leaves its name to the project.
MEMBERS_PREFIX = "burdockhaven/members/"
# Prefix of the records of software versions, by service.
VERSIONS_PREFIX = "burdockhaven/versions/"
# Prefix of the batches of stream origins, by writer and number.
ORIGINS_PREFIX = "burdockhaven/origins/"
# Prefix of the records of quarantined requests, by key of the content.
QUARANTINE_PREFIX = "burdockhaven/quarantine/"
# Prefix of the records of accused prompt parts, by digest of the part's name. It is no
# part of the one above: members of earlier versions read that as contents.
QUARANTINED_PARTS_PREFIX = "burdockhaven/quarantined-parts/"
