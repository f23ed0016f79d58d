"""Ways to keep to what targets state, replayed over fleets without sockets.

Hosts that read nothing send on to targets that shed load or leave. A host that keeps to
what it is told itself breaks no backoff; of leaving targets all have to hear, or hosts
that are told nothing, or have started since, go on to send there.
"""

import pytest

from sardinequay_lab.statement_replay import (
    BACKOFF_TROUBLES,
    BACKOFF_WAYS,
    LEAVING_TROUBLES,
    LEAVING_WAYS,
    replay,
)

SMALL, MEDIUM = (6, 3), (30, 3)
SEED = 1
UNREAD, BY_HOST = BACKOFF_WAYS[:2]
UNREAD_LEAVING, OWN_ONLY, _, TOLD = LEAVING_WAYS


@pytest.mark.parametrize("trouble", BACKOFF_TROUBLES, ids=lambda t: t.name)
def test_host_that_keeps_to_its_own_backoffs_breaks_none(trouble) -> None:
    assert replay(SMALL, trouble, BY_HOST, SEED).pairs_over == 0


def test_hosts_that_read_no_backoff_break_most_and_serve_less() -> None:
    half_shed = BACKOFF_TROUBLES[1]
    unread = replay(MEDIUM, half_shed, UNREAD, SEED)
    by_host = replay(MEDIUM, half_shed, BY_HOST, SEED)
    assert unread.pairs_over > 100
    assert by_host.pairs_over == 0
    assert by_host.refused < unread.refused


@pytest.mark.parametrize("trouble", LEAVING_TROUBLES, ids=lambda t: t.name)
def test_hosts_that_tell_one_another_send_a_leaving_target_nothing(trouble) -> None:
    result = replay(SMALL, trouble, TOLD, SEED)
    assert (result.late, result.after_drain) == (0, 0)
    assert replay(SMALL, trouble, UNREAD_LEAVING, SEED).late > 0


def test_hosts_that_go_by_their_own_answers_alone_send_on() -> None:
    a_sixth_is_told = LEAVING_TROUBLES[2]
    assert replay(SMALL, a_sixth_is_told, OWN_ONLY, SEED).after_drain > 100
