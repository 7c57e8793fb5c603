"""Tests of the HTTP server for callers."""
