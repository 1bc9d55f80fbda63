"""Filters that a request passes, in one explicit order."""
