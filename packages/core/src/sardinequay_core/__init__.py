"""The decisions of sardinequay, without input or output.

Every module here is pure: it reads no clock, opens no socket, starts no task. State is
owned by the daemon's tasks, which feed it events and carry out what it decides.
"""
