"""The HTTP/1.1 server that accepts callers' connections and requests."""
