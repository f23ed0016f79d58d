"""Content ids of requests."""

import pytest

from sardinequay_core.content import content_id

PARTS = ("POST", "h.example", "/chat/1?q", "Bearer a", b"work")


def test_id_is_deterministic() -> None:
    assert content_id(*PARTS) == content_id(*PARTS)


@pytest.mark.parametrize("place", range(5))
def test_each_part_changes_the_id(place: int) -> None:
    other = list(PARTS)
    other[place] = other[place][:-1]
    assert content_id(*other) != content_id(*PARTS)


def test_bytes_cannot_move_from_one_part_to_another() -> None:
    moved = ("POST", "h.example", "/chat/1?qBearer a", "", b"work")
    assert content_id(*moved) != content_id(*PARTS)


def test_id_size_does_not_grow_with_the_body() -> None:
    assert len(content_id("GET", "h", "/", "", b"x" * 1_000_000)) == 32
