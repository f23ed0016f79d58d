"""Ports for processes of a trial, chosen before they listen."""

import socket
from random import SystemRandom

PORTS = range(12_000, 32_000)
"""Below those that the kernel gives to outgoing connections of any process."""

_chosen: set[int] = set()


def is_free(ip: str, port: int) -> bool:
    """Return whether nobody has a port of an address."""
    with socket.socket() as listener:
        try:
            listener.bind((ip, port))
        except OSError:
            return False
    return True


def free_port(ip: str) -> int:
    """Return a port that is free on an address, another one at each call."""
    while True:
        port = SystemRandom().choice(PORTS)
        if port not in _chosen and is_free(ip, port):
            _chosen.add(port)
            return port
