"""Ports for a trial's processes."""

import socket
from random import Random

import pytest

from sardinequay_lab import ports
from sardinequay_lab.ports import free_port

KERNEL_PORTS = 32_768
"""From here the kernel gives ports to outgoing connections."""


def test_ports_are_none_that_an_outgoing_connection_may_take() -> None:
    for _ in range(50):
        port = free_port("127.0.0.1")
        assert port < KERNEL_PORTS
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", port))


def test_a_port_that_was_chosen_is_not_chosen_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ports, "PORTS", range(12_000, 12_100))
    random = Random(1)
    monkeypatch.setattr(ports, "SystemRandom", lambda: random)
    chosen = [free_port("127.0.0.1") for _ in range(40)]
    assert len(set(chosen)) == len(chosen)
