"""The platform: table service, object store and VM list; what is kept there."""
