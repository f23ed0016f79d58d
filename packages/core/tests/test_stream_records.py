"""Records of streams are found, bounded, and never name a version that is unsure."""

from hypothesis import given
from hypothesis import strategies as st

from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId, PoolName, SoftwareVersion
from sardinequay_core.stream_records import (
    StreamRecord,
    StreamRecords,
    hosts_to_ask,
    record_holders,
    stream_key,
)

POOL = PoolName("models")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
HOSTS = [HostId(f"h{number}") for number in range(30)]
KEY = stream_key("caller", POOL, "r1")


def record(version: SoftwareVersion = V1, until: float = 10, **more) -> StreamRecord:
    return StreamRecord(POOL, version, seconds(until), more.get("is_shared", False))


def test_a_record_is_known_until_its_time_is_over() -> None:
    records = StreamRecords()
    records.add(KEY, record())
    assert records.version_of(KEY, seconds(9)) == V1
    assert records.version_of(KEY, seconds(10)) is None
    records.expire(seconds(10))
    assert not records.records


def test_a_name_that_is_used_for_two_versions_has_none() -> None:
    records = StreamRecords()
    for version in (V1, V2, V1):
        records.add(KEY, record(version))
    assert records.version_of(KEY, seconds(1)) is None


def test_records_beyond_the_capacity_drop_the_oldest() -> None:
    records = StreamRecords(capacity=2)
    keys = [stream_key("caller", POOL, f"r{number}") for number in range(3)]
    for key in keys:
        records.add(key, record())
    known = [records.version_of(key, seconds(1)) for key in keys]
    assert known == [None, V1, V1]


def test_each_record_is_shared_once_and_only_of_the_pools_that_need_it() -> None:
    records = StreamRecords()
    records.add(KEY, record())
    assert not records.share({PoolName("others")}, seconds(1))
    assert [key for key, _ in records.share({POOL}, seconds(1))] == [KEY]
    assert not records.share({POOL}, seconds(1))


def test_names_differ_by_caller_pool_and_request() -> None:
    keys = {
        stream_key(caller, PoolName(pool), request)
        for caller in ("a", "ab", "")
        for pool in ("a", "ba", "c")
        for request in ("a", "b", "aa")
    }
    assert len(keys) == 27


@given(st.integers(0, 10_000), st.data())
def test_a_host_that_is_asked_has_the_record_though_the_stream_s_host_died(
    number: int, data: st.DataObject
) -> None:
    """Another host, of any data centre, asks after the first one and one more died."""
    key = stream_key("caller", POOL, f"r{number}")
    me, asking, dead = data.draw(
        st.lists(st.sampled_from(HOSTS), min_size=3, max_size=3, unique=True)
    )
    near = [h for h in HOSTS if int(h[1:]) % 3 == int(me[1:]) % 3 and h != me]
    holders = record_holders(key, [h for h in HOSTS if h != me], near)
    left = [h for h in HOSTS if h not in (me, dead, asking)]
    near_asking = [h for h in left if int(h[1:]) % 3 == int(asking[1:]) % 3]
    asked = {asking, *hosts_to_ask(key, left, near_asking)}
    assert asked & (set(holders) - {dead})
    assert me not in holders
