"""Adapter to the users' machines: their store, headers and statuses.

Nothing else knows their names. What is read here leaves as the product's own types.
"""
