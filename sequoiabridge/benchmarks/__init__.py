"""Benchmarks: each prints its figures and ends with one line."""
