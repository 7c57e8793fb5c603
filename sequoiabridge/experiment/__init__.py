"""Discrete-event simulation of callers, VMs and upstreams that runs the daemon's own decisions."""
