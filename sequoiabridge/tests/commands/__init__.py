"""Tests of the command-line tools."""
