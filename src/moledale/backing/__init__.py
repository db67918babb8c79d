"""Typed interfaces to the given platform, with an HTTP adapter."""
