"""Evidence on an upstream and the verdict that follows from it."""
