"""The burdockhaven daemon: interfaces to callers, targets, members and platform."""
