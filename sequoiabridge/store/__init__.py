"""The platform's table service, object store and VM list, and the data stored in them."""
