"""What the users' platform speaks, translated into the project's own types; decides nothing.

Names of its wire stand in this folder and its tests only.
"""
