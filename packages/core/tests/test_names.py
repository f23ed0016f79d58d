"""Addresses and adapter references of others."""

import pytest
from returns.result import Failure, Success

from sardinequay_core.names import Address, parse_address


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:80", Address("127.0.0.1", 80)),
        ("[::1]:80", Address("::1", 80)),
        ("10.1.2.3:65535", Address("10.1.2.3", 65_535)),
    ],
)
def test_address_is_parsed(text: str, address: Address) -> None:
    assert parse_address(text) == Success(address)


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":80",
        "127.0.0.1",
        "127.0.0.1:",
        "127.0.0.1:65536",
        "127.0.0.1:\u00b2",
        "127.0.0.1:" + "9" * 5_000,
        "abc:80",
        "a" * 70 + ":80",
        "1.2.3:80",
        "999.1.1.1:80",
        "127.0.0.1\n:80",
    ],
)
def test_what_is_no_address_is_refused(text: str) -> None:
    """Guards against a text whose connection raises more than a network error."""
    assert isinstance(parse_address(text), Failure)
