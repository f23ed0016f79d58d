"""The software version of streams that callers resume at this host."""

import asyncio
from dataclasses import dataclass, field, replace
from random import Random
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict, CIMultiDictProxy
from opentelemetry.trace import INVALID_SPAN
from returns.result import Failure, Success

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.freshness import Freshness
from sardinequay_core.names import (
    Address,
    DataCentre,
    HostId,
    PoolName,
    SoftwareVersion,
    TargetId,
)
from sardinequay_core.organisations import Organisation, OrganisationName
from sardinequay_core.outcome import Outcome, Reason
from sardinequay_core.residency import HeldAdapters, Residency
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.serving import PoolShare, Repetition, Route
from sardinequay_core.software_history import Sighting, SoftwareHistory
from sardinequay_daemon.errors import PeerError, TargetError
from sardinequay_daemon.exchange import RelayExchange
from sardinequay_daemon.progress import RequestRefusedError
from sardinequay_daemon.quarantine.guarded_request import GuardedRequest
from sardinequay_daemon.serving_messages import Noted
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import RequestTerms
from sardinequay_daemon.software_choice import options_by_software
from sardinequay_daemon.stream_messages import AskStream, RecordStreams, StreamReply
from sardinequay_daemon.stream_record_client import StreamRecordClient
from sardinequay_daemon.stream_versions import StreamVersions
from sardinequay_daemon.system_clock import SystemClock

POOL = PoolName("models")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
ROUTE = Route(
    "long",
    "h.example",
    "/long/",
    Repetition.RESUMABLE_STREAM,
    seconds(2),
    seconds(1),
    1,
    2,
    (PoolShare(POOL, 1),),
)


@dataclass
class Peers:
    """Other hosts, which keep records, and reply what a test has prepared."""

    replies: dict[str, StreamReply] = field(default_factory=dict)
    records: list[RecordStreams] = field(default_factory=list)
    is_silent: bool = False
    refusing: str = ""

    def known_to_all(self) -> list[HostId]:
        return [HostId(f"h{number}") for number in range(1, 6)]

    def live_peers(self) -> tuple:
        return ()

    def address_of(self, host_id: HostId) -> Address:
        return Address(host_id, 1)

    async def call(self, address: Address, message, timeout_s: float | None = None):
        if self.is_silent:
            await asyncio.sleep(60)
        if isinstance(message, RecordStreams):
            if address.ip == self.refusing:
                return Failure(PeerError(address.ip, "refused"))
            await asyncio.sleep(0.01)
            self.records.append(message)
            return Success(Noted())
        assert isinstance(message, AskStream)
        return Success(self.replies.get(address.ip, StreamReply(None)))


def engine(version: SoftwareVersion, incarnation: int = 5) -> PublishedTarget:
    target = Target(
        TargetId(f"engine-{version}"),
        POOL,
        TargetKind.ENGINE,
        DataCentre("za"),
        Address("127.0.0.1", 1),
    )
    return PublishedTarget(
        target, 8, 1, incarnation=incarnation, software_version=version
    )


def report_start(streams: StreamVersions, target: TargetId, incarnation: int) -> None:
    """Let the keeper tell that an engine has started again."""
    held = HeldAdapters(1, 1, frozenset(), incarnation=incarnation)
    streams.state.residency.apply_update(target, held)


@pytest.fixture
def peers() -> Peers:
    return Peers()


@pytest.fixture
def streams(peers: Peers) -> StreamVersions:
    """Of a host that has seen engines of two versions."""
    state = SimpleNamespace(
        catalogue=Catalogue(),
        software=SoftwareHistory(is_first_start=True),
        random=Random(1),
        residency=Residency(),
        clock=SystemClock(),
    )
    store = SimpleNamespace(
        freshness=Freshness(), must_list=True, catalogue=Catalogue()
    )
    clock, metrics = SystemClock(), ServingMetrics("h1", "za")
    client = StreamRecordClient(HostId("h1"), peers, peers, clock, Random(1), metrics)
    made = StreamVersions(client, state, store, clock, metrics)
    list_engines(made, V1, V2)
    return made


def list_engines(streams: StreamVersions, *versions: SoftwareVersion) -> None:
    listed = {e.target.target_id: e for e in map(engine, versions)}
    streams.state.catalogue = Catalogue(targets=listed)
    now = streams.clock.monotonic()
    streams.history.sightings.clear()
    streams.history.viewed_at = None
    streams.history.apply_view(listed.values(), now)


def request(
    resumed: str = "", last_event: str = "", organisation: str = "", name: str = "r1"
) -> RelayExchange:
    now = SystemClock().monotonic()
    terms = RequestTerms(name, last_event=last_event, resumed_request=resumed)
    return RelayExchange(
        terms,
        ROUTE,
        POOL,
        "POST",
        "/long/x",
        CIMultiDictProxy(CIMultiDict()),
        b"",
        now,
        now + seconds(2),
        INVALID_SPAN,
        GuardedRequest(name, "content"),
        Organisation(OrganisationName(organisation), ()) if organisation else None,
        last_event=last_event,
    )


async def refusal_of(streams: StreamVersions, exchange: RelayExchange):
    with pytest.raises(RequestRefusedError) as refused:
        await streams.resolve(exchange)
    return refused.value.refusal


async def test_a_stream_that_no_host_knows_is_refused_as_not_run(
    streams: StreamVersions,
) -> None:
    refusal = await refusal_of(streams, request("r0", "3"))
    assert refusal.reason is Reason.STREAM_VERSION
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after


@pytest.mark.parametrize(
    ("resumed", "last_event"), [("r0", ""), ("", "3"), ("", "rubbish"), ("r0", "0")]
)
async def test_a_caller_that_may_have_events_needs_a_known_version(
    streams: StreamVersions, resumed: str, last_event: str
) -> None:
    refusal = await refusal_of(streams, request(resumed, last_event))
    assert refusal.reason is Reason.STREAM_VERSION


@pytest.mark.parametrize("last_event", ["", "0"])
async def test_a_new_stream_may_begin_at_any_version(
    streams: StreamVersions, last_event: str
) -> None:
    exchange = request("", last_event)
    await streams.resolve(exchange)
    assert exchange.software_version is None


async def test_a_stream_goes_on_with_the_version_that_this_host_began_it_with(
    streams: StreamVersions,
) -> None:
    await streams.begin(request(name="r0"), engine(V2))
    exchange = request("r0", "3")
    await streams.resolve(exchange)
    assert exchange.software_version == V2


async def test_a_stream_goes_on_with_the_version_of_a_peer_s_record(
    streams: StreamVersions, peers: Peers
) -> None:
    peers.replies["h4"] = StreamReply(V2, is_recorded=True)
    exchange = request("r0", "3")
    await streams.resolve(exchange)
    assert exchange.software_version == V2


async def test_peers_that_do_not_answer_are_waited_for_only_briefly(
    streams: StreamVersions, peers: Peers
) -> None:
    peers.is_silent = True
    async with asyncio.timeout(1.5):
        refusal = await refusal_of(streams, request("r0", "3"))
    assert refusal.reason is Reason.STREAM_VERSION


async def test_a_stream_goes_on_with_the_only_version_there_was(
    streams: StreamVersions,
) -> None:
    list_engines(streams, V1)
    exchange = request("r0", "3")
    await streams.resolve(exchange)
    assert exchange.software_version == V1


async def test_a_stream_of_another_organisation_is_not_known(
    streams: StreamVersions,
) -> None:
    await streams.begin(request(name="r0", organisation="a"), engine(V2))
    refusal = await refusal_of(streams, request("r0", "3", organisation="b"))
    assert refusal.reason is Reason.STREAM_VERSION


async def test_a_new_stream_s_record_goes_to_other_hosts(
    streams: StreamVersions, peers: Peers
) -> None:
    await streams.begin(request(), engine(V2))
    await asyncio.gather(*streams.client.tasks)
    assert [m.streams[0].version for m in peers.records] == [V2, V2]


async def test_the_first_event_waits_for_a_host_that_keeps_the_record(
    streams: StreamVersions, peers: Peers
) -> None:
    """One holder refuses at once; the other keeps the record a little later."""
    key = streams.key_of(request())
    dead, _ = streams.client.holders_of(key)
    peers.refusing = dead
    await streams.begin(request(), engine(V2))
    assert [m.streams[0].key for m in peers.records] == [key]


async def test_no_record_is_sent_while_there_is_one_version(
    streams: StreamVersions, peers: Peers
) -> None:
    list_engines(streams, V1)
    await streams.begin(request(), engine(V1))
    assert not peers.records


async def test_records_of_streams_that_began_before_are_sent_once_a_version_comes(
    streams: StreamVersions, peers: Peers
) -> None:
    list_engines(streams, V1)
    await streams.begin(request(name="r0"), engine(V1))
    list_engines(streams, V1, V2)
    streams.state.catalogue = SimpleNamespace(config=SimpleNamespace(pools={POOL: 1}))
    streams.share_records(streams.clock.monotonic())
    await asyncio.gather(*streams.client.tasks)
    assert [m.streams[0].version for m in peers.records] == [V1, V1]


async def test_the_first_event_waits_only_briefly_for_silent_peers(
    streams: StreamVersions, peers: Peers
) -> None:
    peers.is_silent = True
    async with asyncio.timeout(1.5):
        await streams.begin(request(), engine(V2))


async def test_listed_versions_are_used_however_long_the_store_is_silent(
    streams: StreamVersions,
) -> None:
    list_engines(streams, V1, V2)
    for key, sighting in streams.history.sightings.items():
        long_ago = sighting.last - 3 * streams.lifetime
        streams.history.sightings[key] = Sighting(long_ago, long_ago)
    streams.do_housekeeping()
    await asyncio.gather(*streams.client.tasks)
    now = streams.clock.monotonic()
    assert streams.history.versions_to_begin_on(POOL, {V1, V2}, now) == {V1, V2}


async def test_an_engine_that_was_replaced_begins_no_stream(
    streams: StreamVersions,
) -> None:
    target = engine(V1).target
    replaced = PublishedTarget(target, 8, 2, software_version=V2)
    streams.state.catalogue = Catalogue(targets={target.target_id: replaced})
    with pytest.raises(TargetError):
        await streams.begin(request(), engine(V1))


async def test_a_host_tells_others_of_its_records_and_its_only_version(
    streams: StreamVersions,
) -> None:
    exchange = request(name="r0")
    await streams.begin(exchange, engine(V2))
    asked = AskStream(streams.key_of(exchange), POOL)
    assert await streams.handle_ask(asked) == StreamReply(V2, is_recorded=True)
    unknown = AskStream(streams.key_of(request(name="r9")), POOL)
    assert await streams.handle_ask(unknown) == StreamReply(None)
    list_engines(streams, V1)
    assert await streams.handle_ask(unknown) == StreamReply(V1)


@pytest.mark.parametrize("incarnation", [4, 5, 6])
def test_streams_go_on_and_begin_only_where_the_version_is_known(
    streams: StreamVersions, incarnation: int
) -> None:
    """Guards against a start that no entry has told, while the store is silent."""
    listed = engine(V1)
    report_start(streams, listed.target.target_id, incarnation)
    options = [SimpleNamespace(target=listed.target.target_id)]
    resumed, new = request("r0", "3"), request()
    resumed.software_version = V1
    is_known = incarnation <= listed.incarnation
    for exchange in (resumed, new):
        found = options_by_software(streams.state, exchange, options)
        assert found == (options if is_known else [])


def test_version_is_known_again_once_an_entry_tells_the_start(
    streams: StreamVersions,
) -> None:
    target = engine(V1).target.target_id
    report_start(streams, target, 6)
    entry = replace(engine(V1, incarnation=6), software_version=V2)
    streams.state.catalogue = Catalogue(targets={target: entry})
    resumed = request("r0", "3")
    resumed.software_version = V2
    options = [SimpleNamespace(target=target)]
    assert options_by_software(streams.state, resumed, options) == options


def test_entry_that_tells_no_start_keeps_its_version(streams: StreamVersions) -> None:
    target = engine(V1).target.target_id
    report_start(streams, target, 6)
    entry = engine(V1, incarnation=0)
    streams.state.catalogue = Catalogue(targets={target: entry})
    resumed = request("r0", "3")
    resumed.software_version = V1
    options = [SimpleNamespace(target=target)]
    assert options_by_software(streams.state, resumed, options) == options


@pytest.mark.parametrize("begun_with", [None, V1])
async def test_first_event_of_a_start_without_a_known_version_is_not_passed_on(
    streams: StreamVersions, begun_with: SoftwareVersion | None
) -> None:
    exchange = request("r0", "3") if begun_with else request()
    exchange.software_version = begun_with
    report_start(streams, engine(V1).target.target_id, 6)
    with pytest.raises(TargetError):
        await streams.begin(exchange, engine(V1))
