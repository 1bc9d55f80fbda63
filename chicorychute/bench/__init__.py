"""Standing measurements of the decisions."""
