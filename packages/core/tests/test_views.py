"""Views: who guards which keys."""

import pytest

from sardinequay_core.names import Address, DataCentre, HostId
from sardinequay_core.roster import EntryHost, Presence, Roster
from sardinequay_core.views import GUARDS, MIN_GUARDS, home_of, view_of

A, B = DataCentre("a"), DataCentre("b")


def host(name: str, data_centre: DataCentre, presence=Presence.LIVE) -> EntryHost:
    address = Address("127.0.0.1", 1)
    return EntryHost(HostId(name), data_centre, address, address, presence)


def roster(sizes: dict[DataCentre, int], number: int = 1) -> Roster:
    hosts = [host(f"{dc}{n}", dc) for dc, size in sizes.items() for n in range(size)]
    return Roster(number, tuple(hosts))


@pytest.mark.parametrize(
    ("local", "remote", "guards"),
    [(8, 2, GUARDS), (3, 2, 3), (2, 2, MIN_GUARDS), (1, 1, 2), (0, 5, MIN_GUARDS)],
)
def test_small_data_centres_borrow_guards(local: int, remote: int, guards: int) -> None:
    assert len(view_of(roster({A: local, B: remote}), A).guards) == guards


def test_replacing_one_host_changes_one_guard_at_most() -> None:
    before = roster({A: 8})
    for gone in before.entry_hosts:
        rest = tuple(h for h in before.entry_hosts if h != gone)
        after = Roster(2, (*rest, host("new", A)))
        old, new = view_of(before, A), view_of(after, A)
        assert len(set(old.guards) - set(new.guards)) <= 1


def test_leaving_hosts_guard_nothing() -> None:
    hosts = (host("x", A, Presence.LEAVING), host("y", A))
    assert not view_of(Roster(1, hosts), A).has(HostId("x"))


def test_key_names_its_home_or_has_one_by_hash() -> None:
    assert home_of("b~order-1", (A, B)) == B
    assert home_of("order-1", (A, B)) == home_of("order-1", (B, A))
    assert home_of("nowhere~order-1", (A, B)) in (A, B)
