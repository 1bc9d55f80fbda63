"""Builds the single executable file and the generated reference pages."""
