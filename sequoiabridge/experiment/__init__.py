"""A model of upstreams, VMs and callers on simulated time; it drives the daemon's decisions."""
