"""Filters that each call passes through, and the dispatch of calls to upstreams."""
