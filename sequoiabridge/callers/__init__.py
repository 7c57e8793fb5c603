"""The HTTP server side, towards callers."""
