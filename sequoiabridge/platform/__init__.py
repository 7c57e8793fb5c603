"""Adapter to the platform: translates its wire format to and from the project's own types.

The wire format's names are used only in this package and its tests.
"""
