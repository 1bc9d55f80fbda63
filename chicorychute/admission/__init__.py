"""Admission to local upstreams: ranked queue, slots, limits and quarantine."""
