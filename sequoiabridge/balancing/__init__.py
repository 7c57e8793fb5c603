"""How calls are placed, held, repeated and refused: decisions alone, without input or output.

Time comes from a clock and chance from a generator that are passed in, so the daemon and the
experiment tool run the very same objects.
"""
