"""Tests of membership and what daemons tell each other."""
