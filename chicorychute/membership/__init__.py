"""State of the fleet's instances, from gossip and the platform's instance list."""
