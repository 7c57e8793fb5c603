"""Membership and what daemons tell each other."""
