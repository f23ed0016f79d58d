"""The sardinequay daemon: networking, files and timers around the core."""
