"""Communication between entry nodes over gRPC."""
