"""Running parts of a daemon: threads around the decision packages."""
