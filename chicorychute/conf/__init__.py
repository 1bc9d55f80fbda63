"""Settings of one daemon, read from INI."""
