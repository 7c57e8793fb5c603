"""The daemon on the platform: routes calls to upstreams and follows the platform's store."""
