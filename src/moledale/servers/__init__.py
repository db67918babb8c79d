"""Typed interface to backend servers, with an HTTP adapter."""
