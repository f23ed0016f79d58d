"""Command line for operators: bundles, settings, hosts' status and collected logs."""
