"""Forwarding of requests to backend servers byte for byte, on nodes that keep nothing."""
