"""Frames and messages between hosts: round trips, invalid input and compression."""

import math
import zlib
from contextlib import suppress
from dataclasses import fields, make_dataclass, replace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinequay_core.claims import ClaimRecord, Handover
from sardinequay_core.clock import seconds
from sardinequay_core.membership import Health, Member
from sardinequay_core.names import Address, AttemptId, DataCentre, HostId, TargetId
from sardinequay_core.outcome import Outcome
from sardinequay_core.views import GuardAddress, View
from sardinequay_daemon.messages import InForce, Ping
from sardinequay_daemon.serving_messages import Contact, Digest
from sardinequay_daemon.statements.messages import LoadNews
from sardinequay_daemon.wire import (
    MAX_BODY_BYTES,
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    decode_message,
    encode_frame,
    encode_message,
)

ADDRESS = Address("127.0.0.1", 1)
VIEW = View(DataCentre("home"), 3, (GuardAddress(HostId("a"), ADDRESS),))
MESSAGES = [
    Ping((Member(HostId("a"), ADDRESS, 7, Health.SUSPECT),), InForce(1, "d", 2)),
    Handover(
        remembers=True,
        incarnation=1,
        base=VIEW,
        later_views=(VIEW,),
        records=(ClaimRecord("k", AttemptId("x"), seconds(1.5), Outcome.RAN),),
    ),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_round_trip(message: object) -> None:
    frame = encode_message(FrameKind.REQUEST, 5, message)
    (read,) = FrameReader().feed(encode_frame(frame))
    assert decode_message(read) == message


@given(st.integers(1, 60))
def test_frames_are_split_for_any_chunk_size(size: int) -> None:
    data = b"".join(
        encode_frame(encode_message(FrameKind.REPLY, n, MESSAGES[0])) for n in range(3)
    )
    reader = FrameReader()
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    frames = [frame for piece in pieces for frame in reader.feed(piece)]
    assert [frame.correlation for frame in frames] == [0, 1, 2]


@given(st.binary(max_size=300))
def test_any_bytes_give_frames_or_a_frame_error(data: bytes) -> None:
    try:
        for frame in FrameReader().feed(data):
            decode_message(frame)
    except FrameError:
        pass


@given(st.binary(max_size=100), st.sampled_from(["Ping", "Handover", "Want", "x"]))
def test_any_body_gives_a_message_or_a_frame_error(body: bytes, tag: str) -> None:
    with suppress(FrameError):
        decode_message(Frame(FrameKind.REQUEST, 1, tag, body))


def test_long_body_is_compressed_and_a_zip_bomb_is_rejected() -> None:
    records = tuple(ClaimRecord(f"k{n}", AttemptId("x"), seconds(1)) for n in range(99))
    frame = encode_message(FrameKind.REPLY, 1, Handover(True, 1, records=records))
    assert frame.is_compressed
    assert decode_message(frame).records == records
    bomb = zlib.compress(b"0" * (MAX_BODY_BYTES + 1))
    with pytest.raises(FrameError, match="exceeds"):
        decode_message(
            Frame(FrameKind.REQUEST, 1, "Handover", bomb, is_compressed=True)
        )
    with pytest.raises(FrameError):
        decode_message(
            Frame(FrameKind.REQUEST, 1, "Handover", b"plain", is_compressed=True)
        )


DIGEST = Digest(
    host=Contact(HostId("a"), "home", str(ADDRESS)),
    is_leaving=False,
    contacts=(),
    shares={},
    uses=(),
    holdings=(),
    holds_lease=False,
    orders_in_s=0.0,
    up_s=1.0,
    store_revision=1,
    news_revision=1,
    store_age_s=0.0,
)
NEWS = LoadNews(TargetId("i-0a68494937"), 250, 3, 2, 8, 120)


def test_host_that_does_not_know_of_loads_reads_the_rest_of_a_digest() -> None:
    known = [(f.name, f.type, f) for f in fields(Digest) if f.name != "loads"]
    earlier = make_dataclass("Digest", known, frozen=True)
    body = msgspec.msgpack.encode(replace(DIGEST, loads=(NEWS,)))
    assert msgspec.msgpack.decode(body, type=earlier).host == DIGEST.host


def test_digest_of_a_host_that_does_not_know_of_loads_is_read() -> None:
    named = msgspec.to_builtins(DIGEST)
    del named["loads"]
    frame = Frame(FrameKind.REQUEST, 1, "Digest", msgspec.msgpack.encode(named))
    assert decode_message(frame) == DIGEST


@pytest.mark.parametrize("age_ms", [-5, math.inf, 1e300, 120])
def test_digest_with_any_age_of_a_load_is_read(age_ms: float) -> None:
    told = replace(DIGEST, loads=(replace(NEWS, age_ms=age_ms),))
    assert decode_message(encode_message(FrameKind.REQUEST, 1, told)) == told


def test_load_takes_few_bytes_in_a_digest() -> None:
    news = tuple(
        LoadNews(TargetId(f"i-{n * 0x9E3779B97 % 16**10:010x}"), 250, n, 2, 8, 7 * n)
        for n in range(16)
    )
    plain, told = (
        len(encode_message(FrameKind.REQUEST, 1, digest).body)
        for digest in (DIGEST, replace(DIGEST, loads=news))
    )
    assert told - plain < 30 * len(news)


@pytest.mark.parametrize("data", [b"\xdd\x00\xff\xff\xff", b"\xdf\x00\xff\xff\xff"])
def test_stated_length_of_an_array_is_not_allocated(data: bytes) -> None:
    """Guards against five bytes that take the memory of a host."""
    with pytest.raises(FrameError):
        list(FrameReader().feed(data))


@pytest.mark.parametrize(
    "change",
    [
        {"up_s": math.inf},
        {"up_s": math.nan},
        {"up_s": 1e300},
        {"host": {"host_id": "a", "data_centre": "b", "address": "name:80"}},
        {"host": {"host_id": "a", "data_centre": "b", "address": "1.2.3.4:99999"}},
        {"contacts": [{"host_id": "a", "data_centre": "b", "address": ""}]},
    ],
    ids=str,
)
def test_digest_that_tasks_cannot_use_is_malformed(change: dict) -> None:
    """Guards against a digest that ends the tasks of each host that gets it."""
    named = msgspec.to_builtins(DIGEST) | change
    frame = Frame(FrameKind.REQUEST, 1, "Digest", msgspec.msgpack.encode(named))
    with pytest.raises(FrameError):
        decode_message(frame)


def test_message_that_nests_too_deep_is_malformed() -> None:
    body = b"\x81\xa1z" + b"\x91" * 2_000 + b"\x01"
    with pytest.raises(FrameError):
        decode_message(Frame(FrameKind.REQUEST, 1, "Digest", body))


def test_vote_with_an_endless_abstention_is_malformed() -> None:
    named = {"granted": True, "holder": "a", "highest_token": 1, "quiet_s": math.inf}
    vote = Frame(FrameKind.REPLY, 1, "Vote", msgspec.msgpack.encode(named))
    assert decode_message(vote).quiet_s == math.inf
    body = msgspec.msgpack.encode(named | {"abstains_s": math.inf})
    with pytest.raises(FrameError):
        decode_message(Frame(FrameKind.REPLY, 1, "Vote", body))
