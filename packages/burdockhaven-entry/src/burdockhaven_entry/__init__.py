"""The burdockhaven daemon: callers, targets, other members and the platform."""
