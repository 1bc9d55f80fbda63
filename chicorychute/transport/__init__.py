"""Network I/O: the callers' edge, links between daemons, the upstream client."""
