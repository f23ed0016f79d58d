"""The command of the operators: bundles, settings, and what a fleet has in force."""
