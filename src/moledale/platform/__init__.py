"""Adapters for the users' platform: its names, wire formats and calls; no decisions."""
