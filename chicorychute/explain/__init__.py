"""Tells the life of one request from the log lines of all daemons."""
