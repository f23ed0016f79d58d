"""Stand-ins, load, experiments and history checking."""
