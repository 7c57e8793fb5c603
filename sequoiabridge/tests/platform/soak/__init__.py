"""Soak test: daemon processes serve calls under random faults, and an oracle checks guarantees."""
