"""Benchmarks of the daemon's decisions: simulations with seeded workloads on a virtual clock."""
