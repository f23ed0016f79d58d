"""The daemon of sardinequay: sockets, files and timers around the core."""
