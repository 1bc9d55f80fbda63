"""Measurements of decisions on recorded arrivals."""
