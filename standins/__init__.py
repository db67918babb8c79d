"""Stand-ins for the platform and the backend servers, for tests, benchmarks and the demo."""
