"""The HTTP client side, towards upstreams: connections and probes."""
