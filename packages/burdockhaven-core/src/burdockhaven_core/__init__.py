"""Decisions of the burdockhaven request scheduler.

Nothing in this package opens a socket, reads a clock or draws a random number of its
own: the time and a seeded generator are arguments.
"""
