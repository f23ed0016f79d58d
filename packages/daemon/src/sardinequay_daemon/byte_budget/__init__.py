"""A host's budget for the bytes that callers' connections hold."""
