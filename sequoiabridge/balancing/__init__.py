"""Load-balancing decisions: where a call goes, and when it is held, retried, hedged or refused.

The package does no I/O. The clock and the random generator are passed in, so that the daemon and
the simulation of the experiment tool run the same code.
"""
