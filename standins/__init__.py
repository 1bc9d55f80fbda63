"""Small stand-ins for the platform and upstreams, for the demo and tests."""
