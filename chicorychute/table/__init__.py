"""Operators' table of weights and limits: rows, parse and checks."""
