"""Views: the guards of a data centre and the home of a key."""

import pytest

from sardinequay_core.names import Address, DataCentre, HostId
from sardinequay_core.roster import EntryHost, Presence, Roster
from sardinequay_core.views import (
    GUARDS_PER_DATA_CENTRE,
    MIN_GUARDS,
    build_view,
    home_data_centre,
)

A, B = DataCentre("a"), DataCentre("b")


def host(name: str, data_centre: DataCentre, presence=Presence.LIVE) -> EntryHost:
    address = Address("127.0.0.1", 1)
    return EntryHost(HostId(name), data_centre, address, address, presence)


def roster(sizes: dict[DataCentre, int], number: int = 1) -> Roster:
    hosts = [host(f"{dc}{n}", dc) for dc, size in sizes.items() for n in range(size)]
    return Roster(number, tuple(hosts))


@pytest.mark.parametrize(
    ("local", "remote", "guards"),
    [
        (8, 2, GUARDS_PER_DATA_CENTRE),
        (3, 2, 3),
        (2, 2, MIN_GUARDS),
        (1, 1, 2),
        (0, 5, MIN_GUARDS),
    ],
)
def test_small_data_centres_use_guards_of_other_ones(
    local: int, remote: int, guards: int
) -> None:
    assert len(build_view(roster({A: local, B: remote}), A).guards) == guards


def test_replacing_one_host_changes_one_guard_at_most() -> None:
    before = roster({A: 8})
    for removed in before.entry_hosts:
        rest = tuple(h for h in before.entry_hosts if h != removed)
        after = Roster(2, (*rest, host("new", A)))
        old, new = build_view(before, A), build_view(after, A)
        assert len(set(old.guards) - set(new.guards)) <= 1


def test_leaving_hosts_are_not_guards() -> None:
    hosts = (host("x", A, Presence.LEAVING), host("y", A))
    assert not build_view(Roster(1, hosts), A).has_guard(HostId("x"))


def test_key_home_is_named_or_hashed() -> None:
    assert home_data_centre("b~order-1", (A, B)) == B
    assert home_data_centre("order-1", (A, B)) == home_data_centre("order-1", (B, A))
    assert home_data_centre("nowhere~order-1", (A, B)) in (A, B)
