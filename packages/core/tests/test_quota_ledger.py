"""Quotas over all hosts, decided by what is known of the others."""

from datetime import timedelta

import pytest

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.names import HostId
from sardinequay_core.organisations import (
    Organisation,
    OrganisationName,
    Quota,
    QuotaUnit,
    key_digest,
)
from sardinequay_core.quota_ledger import Admitted, OverQuota, QuotaLedger, QuotaPolicy
from sardinequay_core.usage_view import ReportedUsage, Usage

NAME = OrganisationName("north")
QUOTA = Quota(1_000.0, 1_000.0, QuotaUnit.TOKENS, 200)
NORTH = Organisation(NAME, frozenset(), None, QUOTA)
EXACT = QuotaPolicy(seconds(8), 0.0, 0.0)
PEER = HostId("peer")
LONG_UP = seconds(100)


@pytest.fixture
def book() -> QuotaLedger:
    """A book whose account is full, since it has been up for long."""
    made = QuotaLedger(lambda: 0.5, EXACT)
    made.apply_organisations((NORTH,), seconds(0))
    made.settle_all(seconds(60))
    return made


def told(
    asked: int, admitted: int, scope: DigestScope = DigestScope.HOST, **more: bool
) -> ReportedUsage:
    return ReportedUsage(scope, {NAME: Usage(asked, admitted)}, LONG_UP, **more)


def ask(book: QuotaLedger, at_s: float, tokens: int | None = 100) -> object:
    return book.admit(NORTH, tokens, seconds(at_s))


def admitted_of(book: QuotaLedger, since: Instant, per_s: float, last_s: float) -> int:
    """Ask evenly and return how many tokens were admitted."""
    step_s = 100 / per_s
    count = round(last_s / step_s)
    results = [
        book.admit(NORTH, 100, since + seconds(n * step_s)) for n in range(count)
    ]
    return sum(r.cost for r in results if isinstance(r, Admitted))


def test_requests_within_the_quota_are_admitted(book: QuotaLedger) -> None:
    assert admitted_of(book, seconds(60), 900.0, 10.0) == 9_000


def test_sustained_excess_gets_the_rate_and_the_burst_once(book: QuotaLedger) -> None:
    admitted = admitted_of(book, seconds(60), 4_000.0, 20.0)
    assert 20_000 <= admitted <= 20_000 + 2 * QUOTA.burst


def test_excess_is_let_through_in_part_all_the_time(book: QuotaLedger) -> None:
    admitted_of(book, seconds(60), 4_000.0, 10.0)
    by_second = [admitted_of(book, seconds(70 + s), 4_000.0, 1.0) for s in range(8)]
    assert min(by_second) > 600
    assert max(by_second) < 1_400


def test_what_others_admit_counts(book: QuotaLedger) -> None:
    admitted = 0
    for n in range(30):
        book.apply_report(PEER, told(300 * n, 300 * n), seconds(60 + 0.3 * n))
        admitted += admitted_of(book, seconds(60 + 0.3 * n), 4_000.0, 0.3)
    assert admitted < 3 * QUOTA.burst


def test_what_a_silent_peer_admits_is_foreseen(book: QuotaLedger) -> None:
    for n in range(60):
        book.apply_report(PEER, told(300 * n, 300 * n), seconds(60 + 0.3 * n))
    assert admitted_of(book, seconds(79), 4_000.0, 9.0) < 3 * QUOTA.burst


def test_a_peer_that_is_gone_uses_nothing(book: QuotaLedger) -> None:
    for n in range(60):
        book.apply_report(PEER, told(300 * n, 300 * n), seconds(60 + 0.3 * n))
    book.forget_peer(PEER, seconds(78))
    assert admitted_of(book, seconds(82), 900.0, 5.0) == 4_500


def test_count_told_twice_counts_once(book: QuotaLedger) -> None:
    book.apply_report(PEER, told(0, 0), seconds(60))
    for n in range(20):
        book.apply_report(PEER, told(900, 900), seconds(60.1 + n * 0.01))
    left = book.accounts[NAME].remaining
    assert left > -QUOTA.burst


def test_what_a_peer_counted_before_it_was_heard_is_no_news(book: QuotaLedger) -> None:
    book.apply_report(PEER, told(10**9, 10**9), seconds(60))
    assert isinstance(ask(book, 60.0), Admitted)


def test_all_that_a_peer_counted_since_its_restart_is_news(book: QuotaLedger) -> None:
    book.apply_report(PEER, told(10**6, 10**6), seconds(60))
    again = ReportedUsage(
        DigestScope.HOST, {NAME: Usage(2_500, 2_500)}, seconds(0.5), True
    )
    book.apply_report(PEER, again, seconds(60.3))
    assert isinstance(ask(book, 60.3), OverQuota)


def test_a_new_hub_is_no_news_and_the_old_one_is_forgotten(book: QuotaLedger) -> None:
    book.apply_fleet_report(HostId("a"), told(500, 500, DigestScope.FLEET), seconds(60))
    book.apply_fleet_report(
        HostId("b"), told(10**7, 10**7, DigestScope.FLEET), seconds(61)
    )
    assert list(book.usage.sources) == [HostId("b")]
    assert isinstance(ask(book, 61.0), Admitted)


def test_an_island_has_its_part_only(book: QuotaLedger) -> None:
    book.apply_share(0.25, seconds(60))
    admitted = admitted_of(book, seconds(60), 4_000.0, 20.0)
    assert admitted <= 0.25 * (20_000 + 2 * QUOTA.burst)


def test_a_lower_quota_binds_at_once(book: QuotaLedger) -> None:
    lower = Organisation(NAME, frozenset(), None, Quota(100.0, 100.0, QuotaUnit.TOKENS))
    book.apply_organisations((lower,), seconds(60))
    assert admitted_of(book, seconds(60), 4_000.0, 10.0) <= 1_300


def test_tokens_of_a_request_that_did_not_run_come_back(book: QuotaLedger) -> None:
    before = book.accounts[NAME].remaining
    result = ask(book, 60.0, 700)
    assert isinstance(result, Admitted)
    book.refund(result, seconds(60))
    assert book.accounts[NAME].remaining == before
    assert book.usage.own[NAME] == Usage(700, 0)


def test_an_overdrawn_quota_says_when_there_is_room(book: QuotaLedger) -> None:
    book.apply_report(PEER, told(0, 0), seconds(60))
    book.apply_report(PEER, told(6_000, 6_000), seconds(60.3))
    result = ask(book, 60.3)
    assert isinstance(result, OverQuota)
    assert result.retry_after is not None
    assert result.retry_after > seconds(4)
    assert result.data_age == timedelta(0)


def test_a_request_larger_than_a_window_never_fits(book: QuotaLedger) -> None:
    result = ask(book, 60.0, 10_000_000)
    assert isinstance(result, OverQuota)
    assert result.retry_after is None
    assert isinstance(ask(book, 60.0), Admitted)


def test_large_requests_are_not_starved_by_small_ones(book: QuotaLedger) -> None:
    large = small = 0
    for n in range(2_000):
        at = seconds(60 + n * 0.02)
        small += isinstance(book.admit(NORTH, 50, at), Admitted)
        if n % 20 == 0:
            large += isinstance(book.admit(NORTH, 1_500, at), Admitted)
    assert large / 100 > small / 2_000 * 0.7


def test_request_that_says_no_tokens_counts_as_the_quota_says(
    book: QuotaLedger,
) -> None:
    result = ask(book, 60.0, None)
    assert isinstance(result, Admitted)
    assert result.cost == 200


def test_quota_of_requests_counts_each_as_one() -> None:
    assert Quota(5.0, 5.0, QuotaUnit.REQUESTS).cost(9_000) == 1


def test_organisation_without_a_quota_is_not_counted(book: QuotaLedger) -> None:
    free = Organisation(OrganisationName("free"), frozenset())
    assert book.admit(free, 10**9, seconds(60)) is None


def test_accounts_of_organisations_that_are_gone_go(book: QuotaLedger) -> None:
    book.apply_organisations((), seconds(61))
    assert not book.accounts


def test_digest_of_a_key_takes_any_text_and_tells_keys_apart() -> None:
    digests = {key_digest(text) for text in ("", "a", "b", "\udcff", "é" * 9_000)}
    assert len(digests) == 5
    assert {len(d) for d in digests} == {32}


def test_cheap_requests_pass_beside_dear_ones_that_are_too_many(book) -> None:
    # An organisation at ten times its quota: generations of 900 tokens, and between
    # them plain requests of 10.
    cheap = dear = 0
    for n in range(2_000):
        at = seconds(60 + n * 0.02)
        if n % 5:
            cheap += isinstance(book.admit(NORTH, 10, at), Admitted)
        else:
            dear += isinstance(book.admit(NORTH, 900, at), Admitted)
    assert cheap > 1_500
    assert dear > 15


def test_requests_that_are_all_cheap_are_not_let_through(book: QuotaLedger) -> None:
    results = [book.admit(NORTH, 20, seconds(60 + n / 200)) for n in range(4_000)]
    admitted = sum(r.cost for r in results if isinstance(r, Admitted))
    assert admitted <= 20_000 + 2 * QUOTA.burst
