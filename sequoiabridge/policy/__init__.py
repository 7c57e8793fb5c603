"""Load-balancing decisions, without I/O, clock or event loop."""
