"""What targets state of themselves in their answers: recorded, shared and kept to."""
