"""A randomized fault soak over real gateway processes on loopback."""
