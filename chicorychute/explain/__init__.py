"""Reconstructs the history of one request from the log lines of all daemons."""
