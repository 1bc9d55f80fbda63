"""Values, messages, errors and the clock interface that every package shares."""
