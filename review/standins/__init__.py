"""Stand-ins of the platform's store, the instances and the requesters, for the review's cases."""
