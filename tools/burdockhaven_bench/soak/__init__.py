"""Fault soak: real daemons under a seeded plan of faults, judged by an oracle."""
