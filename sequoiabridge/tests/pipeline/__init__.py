"""Tests of the pipeline."""
