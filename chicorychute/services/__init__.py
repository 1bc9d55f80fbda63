"""Services of a daemon: threads and locks around the packages that decide."""
