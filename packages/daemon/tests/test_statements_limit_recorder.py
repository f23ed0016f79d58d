"""What hosts record of targets' limits, tell peers, log and show."""

from dataclasses import replace

from returns.result import Failure

from sardinequay_core.catalogue import Catalogue
from sardinequay_daemon.header_values import InvalidValue

from .limit_helpers import TARGET, facts, hear, news, rate

ISSUER = "h2"


def test_change_is_announced_and_its_repetition_is_not(recorder, announcements) -> None:
    hear(recorder, 2.0)
    hear(recorder, 2.0)
    assert (rate(recorder), announcements.count) == (2.0, 1)
    assert recorder.changed_since(0) == (news(),)


def test_rejection_without_a_limit_and_answers_of_others_end_nothing(recorder) -> None:
    hear(recorder, 2.0)
    hear(recorder, None, not_run=True)
    hear(recorder, None, instance="another")
    hear(recorder, None, is_misdirected=True)
    assert rate(recorder) == 2.0
    hear(recorder, None, instance="t")
    assert rate(recorder) is None


def test_invalid_limit_changes_nothing_and_is_logged_once(recorder, caplog) -> None:
    hear(recorder, 2.0)
    invalid = facts(Failure(InvalidValue("two")))
    for _ in range(3):
        recorder.record_answer(TARGET, invalid, 200, recorder.clock.monotonic())
    assert rate(recorder) == 2.0
    assert [r.getMessage() for r in caplog.records] == ["target limit invalid"]


def test_report_of_a_peer_is_passed_on_once(recorder, announcements) -> None:
    recorder.apply_reports([news(age_s=0.5)], ISSUER)
    recorder.apply_reports([news(age_s=0.5)], ISSUER)
    assert announcements.count == 1
    (told,) = recorder.changed_since(0)
    assert replace(told, age_s=0.5) == news(age_s=0.5)


def test_gauge_shows_only_targets_that_state_a_limit_now(recorder, clock) -> None:
    """A target that left with its limit was shown for as long as the host ran."""
    gauge = recorder.metrics.target_limit
    hear(recorder, 2.0)
    recorder.expire()
    assert list(gauge.values.values()) == [2.0]
    recorder.limits.apply_catalogue(Catalogue())
    clock.advance(11)
    recorder.expire()
    assert len(gauge.values) == 0


def test_limit_of_a_silent_target_ends(recorder, clock) -> None:
    hear(recorder, 2.0)
    clock.advance(11)
    recorder.expire()
    assert rate(recorder) is None
