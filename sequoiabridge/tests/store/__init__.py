"""Tests of the store."""
