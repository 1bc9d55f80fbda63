"""At most one run for requests that may not be repeated, with nothing stored."""
