"""What puts one daemon together, keeps it at work and stops it; see `sequoiabridge.daemon`."""
