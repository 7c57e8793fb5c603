"""Tests of the HTTP client for upstreams."""
