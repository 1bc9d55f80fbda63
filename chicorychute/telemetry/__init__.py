"""Logs, metrics and trace spans of a daemon."""
