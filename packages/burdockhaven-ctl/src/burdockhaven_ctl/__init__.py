"""Command line of burdockhaven for operators."""
