"""Tests of the decisions: choice, limits, retries, crashes, probes and shares."""
