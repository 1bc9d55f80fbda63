"""Readers of the platform's configuration service and instance list."""
