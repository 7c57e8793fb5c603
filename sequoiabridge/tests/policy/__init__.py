"""Tests of choice, admission, retries, crash detection, probing and connection shares."""
