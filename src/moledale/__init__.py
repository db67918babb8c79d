"""Serving system for language models on reclaimable instances."""

__version__ = "0.1.0"
