"""Sockets: callers' edge, links between daemons, upstream client."""
