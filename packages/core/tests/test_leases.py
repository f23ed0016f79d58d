"""Lease table of a holder: grants, recalls, returns and expiry."""

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.leases import RETURN_HISTORY_MESSAGES, AdapterUse, LeaseTable

NOW = seconds(100)
UNTIL = NOW + seconds(10)


@pytest.fixture
def table(x_use: AdapterUse) -> LeaseTable:
    made = LeaseTable()
    made.record_grant(x_use, UNTIL, made.next_sequence())
    return made


def test_dispatch_requires_an_unexpired_lease(
    table: LeaseTable, x_use: AdapterUse
) -> None:
    assert table.begin_request(x_use, NOW)
    assert not table.begin_request(x_use, UNTIL)
    assert table.usable_uses(x_use.adapter, UNTIL) == []


def test_recalled_lease_is_returned_with_its_last_request(
    table: LeaseTable, x_use: AdapterUse
) -> None:
    table.begin_request(x_use, NOW)
    assert table.handle_recall(x_use) == 1
    assert not table.begin_request(x_use, NOW)
    assert table.end_request(x_use)
    assert table.held_leases() == []


def test_grant_for_an_older_message_does_not_restore_a_returned_lease(
    table: LeaseTable, x_use: AdapterUse
) -> None:
    asked = table.next_sequence()
    table.handle_recall(x_use)
    table.record_grant(x_use, UNTIL, asked)
    assert not table.begin_request(x_use, NOW)
    table.record_grant(x_use, UNTIL, table.next_sequence())
    assert table.begin_request(x_use, NOW)


def test_renewal_does_not_revive_a_recalled_lease(
    table: LeaseTable, x_use: AdapterUse
) -> None:
    table.begin_request(x_use, NOW)
    table.handle_recall(x_use)
    table.record_grant(x_use, UNTIL, table.next_sequence())
    assert not table.is_usable(x_use, NOW)


def test_expired_lease_is_kept_while_requests_run(
    table: LeaseTable, x_use: AdapterUse
) -> None:
    table.begin_request(x_use, NOW)
    assert table.expire_idle(UNTIL) == []
    table.end_request(x_use)
    assert table.expire_idle(UNTIL) == [x_use]


def test_returns_are_removed_when_no_late_answer_is_possible(
    table: LeaseTable, x_use: AdapterUse
) -> None:
    table.handle_recall(x_use)
    table.expire_idle(NOW)
    assert x_use in table.returned_at_sequence
    table.sequence += RETURN_HISTORY_MESSAGES + 1
    table.expire_idle(NOW)
    assert table.returned_at_sequence == {}
