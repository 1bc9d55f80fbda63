"""Small stand-ins for the platform, upstreams and store, for the demo and tests."""
