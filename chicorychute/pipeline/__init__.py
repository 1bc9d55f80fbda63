"""Filters that each request passes through, in one explicit order."""
