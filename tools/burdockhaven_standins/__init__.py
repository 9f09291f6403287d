"""Stand-ins for the engines, the plain services and the platform, for tests."""
