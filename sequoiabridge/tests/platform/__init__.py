"""Tests of the platform adapter, with emulators of the platform's store and upstreams."""
