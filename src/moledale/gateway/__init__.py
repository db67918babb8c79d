"""The gateway: stateless nodes that forward requests to backend servers byte for byte."""
