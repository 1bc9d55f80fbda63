"""Ranked queue and slots of the upstreams beside a daemon."""
