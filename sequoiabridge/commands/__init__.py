"""The command line: one thin module for each verb."""
