"""Randomized fault-injection soak tests that run real gateway processes on loopback."""
