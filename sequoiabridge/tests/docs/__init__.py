"""Tests of the documentation."""
