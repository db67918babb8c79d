"""Tools for measurements, ablations and generated records."""
