"""Settings of a daemon and configuration of the fleet: declaration, parsing and validation."""
