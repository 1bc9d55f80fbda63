"""Measurements that need the repository; the others are in chicorychute.bench."""
