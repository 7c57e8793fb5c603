"""Connections to upstreams through peers, for VMs that have lost their own paths to them."""
