"""Benchmarks of the decisions and of their cost, compared from release to release."""
