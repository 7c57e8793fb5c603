"""Decisions only: no I/O, no clock, no curio."""
