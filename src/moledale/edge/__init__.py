"""The HTTP API for callers and operators."""
