"""Adapter to the users' platform: its store, headers and statuses.

No other package uses the platform's names. What is read here is returned as the
product's own types.
"""
