"""Typed interfaces to the platform's services, and an HTTP adapter for them."""
