"""Builds, schedules and stops the components of a daemon; see `sequoiabridge.daemon`."""
