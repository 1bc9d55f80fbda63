"""Runs non-repeatable requests at most once, with no state on disk."""
