"""Distributed quotas, decided from the usage that peers report."""

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
NO_EXCESS = QuotaPolicy(seconds(8), 0.0, 0.0)
PEER = HostId("peer")
LONG_UPTIME = seconds(100)


@pytest.fixture
def ledger() -> QuotaLedger:
    """Return a ledger whose account is full, since it has existed for long."""
    made = QuotaLedger(lambda: 0.5, NO_EXCESS)
    made.apply_organisations((NORTH,), seconds(0))
    made.settle_all(seconds(60))
    return made


def reported(
    asked: int, admitted: int, scope: DigestScope = DigestScope.HOST, **more: bool
) -> ReportedUsage:
    return ReportedUsage(scope, {NAME: Usage(asked, admitted)}, LONG_UPTIME, **more)


def admit_request(ledger: QuotaLedger, at_s: float, tokens: int | None = 100) -> object:
    return ledger.admit(NORTH, tokens, seconds(at_s))


def admitted_tokens(
    ledger: QuotaLedger, since: Instant, per_s: float, last_s: float
) -> int:
    """Send requests at a constant rate; return how many tokens were admitted."""
    step_s = 100 / per_s
    count = round(last_s / step_s)
    results = [
        ledger.admit(NORTH, 100, since + seconds(n * step_s)) for n in range(count)
    ]
    return sum(r.cost for r in results if isinstance(r, Admitted))


def test_requests_within_the_quota_are_admitted(ledger: QuotaLedger) -> None:
    assert admitted_tokens(ledger, seconds(60), 900.0, 10.0) == 9_000


def test_sustained_excess_gets_the_rate_and_the_burst_once(ledger: QuotaLedger) -> None:
    admitted = admitted_tokens(ledger, seconds(60), 4_000.0, 20.0)
    assert 20_000 <= admitted <= 20_000 + 2 * QUOTA.burst


def test_fraction_of_excess_demand_is_admitted_continuously(
    ledger: QuotaLedger,
) -> None:
    admitted_tokens(ledger, seconds(60), 4_000.0, 10.0)
    by_second = [
        admitted_tokens(ledger, seconds(70 + s), 4_000.0, 1.0) for s in range(8)
    ]
    assert min(by_second) > 600
    assert max(by_second) < 1_400


def test_usage_admitted_by_peers_counts(ledger: QuotaLedger) -> None:
    admitted = 0
    for n in range(30):
        ledger.apply_report(PEER, reported(300 * n, 300 * n), seconds(60 + 0.3 * n))
        admitted += admitted_tokens(ledger, seconds(60 + 0.3 * n), 4_000.0, 0.3)
    assert admitted < 3 * QUOTA.burst


def test_usage_of_a_silent_peer_is_extrapolated(ledger: QuotaLedger) -> None:
    for n in range(60):
        ledger.apply_report(PEER, reported(300 * n, 300 * n), seconds(60 + 0.3 * n))
    assert admitted_tokens(ledger, seconds(79), 4_000.0, 9.0) < 3 * QUOTA.burst


def test_peer_that_is_gone_uses_nothing(ledger: QuotaLedger) -> None:
    for n in range(60):
        ledger.apply_report(PEER, reported(300 * n, 300 * n), seconds(60 + 0.3 * n))
    ledger.forget_peer(PEER, seconds(78))
    assert admitted_tokens(ledger, seconds(82), 900.0, 5.0) == 4_500


def test_count_reported_twice_counts_once(ledger: QuotaLedger) -> None:
    ledger.apply_report(PEER, reported(0, 0), seconds(60))
    for n in range(20):
        ledger.apply_report(PEER, reported(900, 900), seconds(60.1 + n * 0.01))
    remaining = ledger.accounts[NAME].remaining
    assert remaining > -QUOTA.burst


def test_counts_of_a_peer_before_its_first_report_are_not_new_usage(
    ledger: QuotaLedger,
) -> None:
    ledger.apply_report(PEER, reported(10**9, 10**9), seconds(60))
    assert isinstance(admit_request(ledger, 60.0), Admitted)


def test_all_counts_of_a_peer_since_its_restart_are_new_usage(
    ledger: QuotaLedger,
) -> None:
    ledger.apply_report(PEER, reported(10**6, 10**6), seconds(60))
    again = ReportedUsage(
        DigestScope.HOST, {NAME: Usage(2_500, 2_500)}, seconds(0.5), True
    )
    ledger.apply_report(PEER, again, seconds(60.3))
    assert isinstance(admit_request(ledger, 60.3), OverQuota)


def test_first_report_of_a_new_hub_is_not_new_usage_and_drops_the_old_hub(
    ledger: QuotaLedger,
) -> None:
    ledger.apply_fleet_report(
        HostId("a"), reported(500, 500, DigestScope.FLEET), seconds(60)
    )
    ledger.apply_fleet_report(
        HostId("b"), reported(10**7, 10**7, DigestScope.FLEET), seconds(61)
    )
    assert list(ledger.usage.sources) == [HostId("b")]
    assert isinstance(admit_request(ledger, 61.0), Admitted)


def test_partition_uses_only_its_share(ledger: QuotaLedger) -> None:
    ledger.apply_share(0.25, seconds(60))
    admitted = admitted_tokens(ledger, seconds(60), 4_000.0, 20.0)
    assert admitted <= 0.25 * (20_000 + 2 * QUOTA.burst)


def test_lower_quota_applies_at_once(ledger: QuotaLedger) -> None:
    lower = Organisation(NAME, frozenset(), None, Quota(100.0, 100.0, QuotaUnit.TOKENS))
    ledger.apply_organisations((lower,), seconds(60))
    assert admitted_tokens(ledger, seconds(60), 4_000.0, 10.0) <= 1_300


def test_tokens_of_a_request_that_did_not_run_are_refunded(ledger: QuotaLedger) -> None:
    before = ledger.accounts[NAME].remaining
    result = admit_request(ledger, 60.0, 700)
    assert isinstance(result, Admitted)
    ledger.refund(result, seconds(60))
    assert ledger.accounts[NAME].remaining == before
    assert ledger.usage.own[NAME] == Usage(700, 0)


def test_refusal_of_an_overdrawn_quota_has_a_retry_time(ledger: QuotaLedger) -> None:
    ledger.apply_report(PEER, reported(0, 0), seconds(60))
    ledger.apply_report(PEER, reported(6_000, 6_000), seconds(60.3))
    result = admit_request(ledger, 60.3)
    assert isinstance(result, OverQuota)
    assert result.retry_after is not None
    assert result.retry_after > seconds(4)
    assert result.data_age == timedelta(0)


def test_request_larger_than_a_window_never_fits(ledger: QuotaLedger) -> None:
    result = admit_request(ledger, 60.0, 10_000_000)
    assert isinstance(result, OverQuota)
    assert result.retry_after is None
    assert isinstance(admit_request(ledger, 60.0), Admitted)


def test_large_requests_are_not_starved_by_small_ones(ledger: QuotaLedger) -> None:
    large = small = 0
    for n in range(2_000):
        at = seconds(60 + n * 0.02)
        small += isinstance(ledger.admit(NORTH, 50, at), Admitted)
        if n % 20 == 0:
            large += isinstance(ledger.admit(NORTH, 1_500, at), Admitted)
    assert large / 100 > small / 2_000 * 0.7


def test_request_without_declared_tokens_costs_the_default_of_the_quota(
    ledger: QuotaLedger,
) -> None:
    result = admit_request(ledger, 60.0, None)
    assert isinstance(result, Admitted)
    assert result.cost == 200


def test_request_quota_counts_each_request_as_one() -> None:
    assert Quota(5.0, 5.0, QuotaUnit.REQUESTS).cost(9_000) == 1


def test_organisation_without_a_quota_is_not_counted(ledger: QuotaLedger) -> None:
    free = Organisation(OrganisationName("free"), frozenset())
    assert ledger.admit(free, 10**9, seconds(60)) is None


def test_accounts_of_removed_organisations_are_dropped(ledger: QuotaLedger) -> None:
    ledger.apply_organisations((), seconds(61))
    assert not ledger.accounts


def test_key_digest_accepts_any_text_and_differs_between_keys() -> None:
    digests = {key_digest(text) for text in ("", "a", "b", "\udcff", "é" * 9_000)}
    assert len(digests) == 5
    assert {len(d) for d in digests} == {32}


def test_cheap_requests_are_admitted_among_too_many_expensive_ones(ledger) -> None:
    # An organisation at ten times its quota sends generations of 900 tokens, and plain
    # requests of 10 tokens between them.
    cheap = expensive = 0
    for n in range(2_000):
        at = seconds(60 + n * 0.02)
        if n % 5:
            cheap += isinstance(ledger.admit(NORTH, 10, at), Admitted)
        else:
            expensive += isinstance(ledger.admit(NORTH, 900, at), Admitted)
    assert cheap > 1_500
    assert expensive > 15


def test_excess_of_only_cheap_requests_is_not_admitted(ledger: QuotaLedger) -> None:
    results = [ledger.admit(NORTH, 20, seconds(60 + n / 200)) for n in range(4_000)]
    admitted = sum(r.cost for r in results if isinstance(r, Admitted))
    assert admitted <= 20_000 + 2 * QUOTA.burst
