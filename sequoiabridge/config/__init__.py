"""Declared, self-checking options; the settings of a process; the configuration of the fleet."""
