"""Outcomes that a refusal may state after a request's attempts."""

from datetime import timedelta

import pytest

from sardinequay_core.outcome import Outcome, Reason, not_run_refusal
from sardinequay_daemon.progress import Progress, with_proven_outcome

REFUSAL = not_run_refusal(Reason.LOAD_QUEUE_FULL, "full", timedelta(seconds=1))


def test_request_that_was_never_sent_has_not_run() -> None:
    assert Progress().outcome is Outcome.NOT_RUN
    assert with_proven_outcome(REFUSAL, Progress()) == REFUSAL


@pytest.mark.parametrize("later_proves", [True, False])
def test_attempt_that_may_have_run_is_not_undone_by_a_later_one(
    later_proves: bool,
) -> None:
    # Guards against a refusal that states "not run" although the first attempt ran: its
    # engine died and restarted, and the second attempt was refused as not loaded.
    progress = Progress()
    progress.begin_attempt()
    progress.end_attempt(proves_not_run=False)
    progress.begin_attempt()
    progress.end_attempt(proves_not_run=later_proves)
    assert progress.outcome is Outcome.UNKNOWN
    refusal = with_proven_outcome(REFUSAL, progress)
    assert (refusal.outcome, refusal.reason) == (Outcome.UNKNOWN, REFUSAL.reason)


def test_attempts_that_prove_it_have_not_run() -> None:
    progress = Progress()
    for _ in range(2):
        progress.begin_attempt()
        assert progress.outcome is Outcome.UNKNOWN
        progress.end_attempt(proves_not_run=True)
    assert progress.outcome is Outcome.NOT_RUN


def test_answer_that_began_has_run() -> None:
    progress = Progress()
    progress.begin_attempt()
    progress.last_event = 1
    progress.end_attempt(proves_not_run=False)
    assert progress.outcome is Outcome.RAN
