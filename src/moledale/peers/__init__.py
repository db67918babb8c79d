"""Traffic between entry instances over gRPC."""
