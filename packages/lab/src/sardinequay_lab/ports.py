"""Ports for processes of a trial, chosen before they listen."""

import socket
from random import SystemRandom

PORTS = (12_000, 32_000)


def free_port(ip: str) -> int:
    """Return a port that is free on an address and stays so.

    It lies below those that the kernel gives to outgoing connections: one of these,
    of any process, took a port between its choice and its use.
    """
    while True:
        port = SystemRandom().randrange(*PORTS)
        with socket.socket() as listener:
            try:
                listener.bind((ip, port))
            except OSError:
                continue
            return port
