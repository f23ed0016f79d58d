"""Stand-ins of what the system is served by and serves: small, for tests and trials.

Each is a process of its own, run as ``python -m``, and writes a history of what it saw
and did, so that the system's promises can be checked from the other side.
"""
