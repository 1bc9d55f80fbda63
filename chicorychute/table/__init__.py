"""Operators' table of routes, shares and limits: rows, parser and checks."""
