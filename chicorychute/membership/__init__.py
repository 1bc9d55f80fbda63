"""View of the fleet's instances, kept by gossip and the platform's list."""
