"""Proxy fleet for upstreams with gray failures."""

VERSION = "0.1.0"
