"""Typed interfaces to backend servers, and an HTTP adapter for them."""
