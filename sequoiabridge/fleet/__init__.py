"""Fleet membership, and the exchange of state between daemons."""
