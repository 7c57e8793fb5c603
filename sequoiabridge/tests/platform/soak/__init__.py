"""The fault soak: daemons as processes, faults from outside them, promises checked meanwhile."""
