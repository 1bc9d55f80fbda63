"""Builds the one file in which the product ships."""
