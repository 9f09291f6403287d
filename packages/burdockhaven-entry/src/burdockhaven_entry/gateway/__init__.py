"""The daemon's edge towards the users' platform."""
