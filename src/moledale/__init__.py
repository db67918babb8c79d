"""Serving system for language models on reclaimable cloud instances."""

__version__ = "0.1.0"
