"""Tests of what the platform speaks, and the emulator that stands in for the platform."""
