"""The filters that a call passes through, in order."""
