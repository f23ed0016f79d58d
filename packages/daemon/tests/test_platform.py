"""Replies of the configuration service and of the host list, odd ones too."""

from dataclasses import dataclass, field

import pytest
from returns.result import Failure, Success

from sardinequay_core.documents import encode_msgpack
from sardinequay_core.names import TargetId
from sardinequay_core.roster import Roster
from sardinequay_daemon.engine_client import decode_report, refusal_error
from sardinequay_daemon.errors import TargetFault
from sardinequay_daemon.metrics import Metrics
from sardinequay_daemon.platform import HttpReader, PublishedValue, decode_roster
from sardinequay_lab.odd_documents import odd_documents

SOUND_ROSTER = {
    "number": 3,
    "entry_hosts": [
        {
            "host_id": "h1",
            "data_centre": "za",
            "peer_address": {"ip": "127.0.0.1", "port": 1},
            "caller_address": {"ip": "127.0.0.1", "port": 2},
        }
    ],
    "targets": [],
}


@dataclass
class FakeAnswer:
    status: int
    headers: dict[str, str] = field(default_factory=dict)


@pytest.mark.parametrize("revision", ["", "x", "-1", "\u00b2", "9" * 5_000, "1.5"])
async def test_reply_without_a_revision_is_a_failed_read(
    metrics: Metrics, revision: str
) -> None:
    """Guards against the end of all hosts by one header of the service."""
    reader = HttpReader(None, "http://127.0.0.1:1", metrics, "configuration")
    answer = FakeAnswer(304, {"X-Revision": revision})
    assert isinstance(await reader.read_response("/x", answer), Failure)


async def test_reply_with_a_revision_is_read(metrics: Metrics) -> None:
    reader = HttpReader(None, "http://127.0.0.1:1", metrics, "configuration")
    answer = FakeAnswer(304, {"X-Revision": "17"})
    value = await reader.read_response("/x", answer)
    assert value == Success(PublishedValue(17, None))


def test_odd_host_list_is_read_or_a_failed_read() -> None:
    assert isinstance(decode_roster(PublishedValue(1, b"[" * 2_000)), Failure)
    number = b'{"number": 18446744073709551616}'
    assert isinstance(decode_roster(PublishedValue(1, number)), Failure)
    for odd in odd_documents(SOUND_ROSTER):
        read = decode_roster(PublishedValue(1, odd.data))
        assert isinstance(read.value_or(None), Roster | None), odd.name


def test_odd_report_of_an_engine_is_read_or_a_typed_error() -> None:
    """Guards against the end of a keeper by one report."""
    sound = {
        "incarnation": "i1",
        "highest_token": 5,
        "slots": 2,
        "resident": [{"name": "a", "version": "1"}],
        "running": 1,
    }
    for odd in odd_documents(sound):
        read = decode_report(TargetId("e"), odd.data)
        report = read.value_or(None)
        assert report is None or encode_msgpack(report), odd.name
        assert refusal_error(503, odd.data).fault is TargetFault.REFUSED, odd.name
