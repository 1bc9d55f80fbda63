"""Evidence on the health of an upstream and the verdict based on it."""
