"""The fault matrix: every fault at every step, on the real parts with fakes at the interfaces."""
