"""Small stand-ins for the outside systems, for tests, benchmarks and the demonstration."""
