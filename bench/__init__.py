"""Replays seeded workloads through the daemon's own decisions, on a virtual clock."""
