"""Ports for a trial's processes."""

import socket

from sardinequay_lab.ports import free_port

KERNEL_PORTS = 32_768
"""From here the kernel gives ports to outgoing connections."""


def test_ports_are_none_that_an_outgoing_connection_may_take() -> None:
    for _ in range(50):
        port = free_port("127.0.0.1")
        assert port < KERNEL_PORTS
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", port))
