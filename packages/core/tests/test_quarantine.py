"""What counts against a content, for how long, and what clears it."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import ContentId, TargetId
from sardinequay_core.quarantine import Quarantine, QuarantinePolicy, TargetEnd

FATAL = ContentId("fatal")
BESIDE = ContentId("beside")
START = seconds(1000)
POLICY = QuarantinePolicy()


def end(target: str, at_s: float = 0.0, incarnation: int = 1) -> TargetEnd:
    return TargetEnd(TargetId(target), incarnation, START + seconds(at_s))


def after(value_s: float) -> Instant:
    return START + seconds(value_s)


@pytest.fixture
def quarantine() -> Quarantine:
    return Quarantine()


def test_one_end_makes_a_suspect_and_holds_nothing(quarantine) -> None:
    assert quarantine.record_target_end(FATAL, end("a"), START)
    assert quarantine.is_suspect(FATAL)
    assert not quarantine.remaining_hold(FATAL, START)
    assert not quarantine.is_suspect(BESIDE)


def test_two_ends_hold_until_the_targets_are_back(quarantine) -> None:
    quarantine.record_target_end(FATAL, end("a"), START)
    quarantine.record_target_end(FATAL, end("b", 1), after(1))
    assert quarantine.remaining_hold(FATAL, after(1)) == POLICY.first_hold
    assert not quarantine.remaining_hold(FATAL, after(1) + POLICY.first_hold)


def test_each_further_end_holds_twice_as_long(quarantine) -> None:
    holds = []
    for number in range(6):
        at_s = 10.0 * number
        quarantine.record_target_end(FATAL, end(f"t{number}", at_s), after(at_s))
        holds.append(quarantine.remaining_hold(FATAL, after(at_s)))
    long = POLICY.long_hold
    assert holds[2:] == [long, 2 * long, 4 * long, 8 * long]


def test_the_hold_is_bounded_with_the_ends(quarantine) -> None:
    for number in range(30):
        quarantine.record_target_end(FATAL, end(f"t{number}", number), after(number))
    assert len(quarantine.ends_of(FATAL)) == POLICY.max_ends
    assert quarantine.remaining_hold(FATAL, after(29)) < timedelta(days=1)


def test_one_end_told_by_several_hosts_counts_once(quarantine) -> None:
    assert quarantine.record_target_end(FATAL, end("a"), START)
    assert not quarantine.record_target_end(FATAL, end("a", 0.4), after(0.4))
    assert len(quarantine.ends_of(FATAL)) == 1


def test_news_that_a_cut_held_up_is_no_other_end(quarantine) -> None:
    """What a host told before a cut of 5.6 s came after it, and looked 5.6 s younger.

    One engine that ended counted as three, and seven contents that were there were
    held for ten minutes at eight hosts:

        39.750  content quarantined  targets=[i-0a68, i-0a68, i-0a68]  last_s=25.624

    Told again late, an end seems later than it was, never earlier.
    """
    quarantine.record_target_end(BESIDE, end("a", 0, incarnation=0), START)
    for late_s in (5.6, 2.9, 40.0):
        assert not quarantine.record_target_end(
            BESIDE, end("a", late_s, incarnation=0), after(50)
        )
    assert not quarantine.remaining_hold(BESIDE, after(50))
    quarantine.record_target_end(FATAL, end("a", 5.6), after(6))
    quarantine.record_target_end(FATAL, end("a", 0), after(6))
    assert quarantine.ends_of(FATAL)[0].at == START


def test_another_start_of_a_target_ends_anew(quarantine) -> None:
    quarantine.record_target_end(FATAL, end("a", 0, incarnation=1), START)
    assert quarantine.record_target_end(FATAL, end("a", 1, incarnation=2), after(1))


def test_a_target_that_keeps_its_id_ends_anew_later() -> None:
    bounded = Quarantine(QuarantinePolicy(same_end_span=seconds(30)))
    bounded.record_target_end(FATAL, end("a", 0, incarnation=0), START)
    assert not bounded.record_target_end(FATAL, end("a", 29, incarnation=0), after(29))
    assert bounded.record_target_end(FATAL, end("a", 31, incarnation=0), after(31))


def test_an_answer_clears_what_was_there_by_chance(quarantine) -> None:
    quarantine.record_target_end(BESIDE, end("a"), START)
    assert quarantine.clear_content(BESIDE, after(1), after(1))
    assert not quarantine.is_suspect(BESIDE)
    assert not quarantine.record_target_end(BESIDE, end("a", 0.1), after(2))
    assert quarantine.record_target_end(BESIDE, end("b", 3), after(3))


def test_an_answer_of_what_is_under_no_suspicion_takes_no_memory(quarantine) -> None:
    assert not quarantine.clear_content(BESIDE, START, START)
    assert not quarantine.suspicions


def test_peers_are_told_each_change_once(quarantine) -> None:
    quarantine.record_target_end(FATAL, end("a"), START)
    quarantine.record_target_end(BESIDE, end("a"), START)
    assert quarantine.changed_since(0, 9) == (FATAL, BESIDE)
    assert quarantine.changed_since(0, 1) == (FATAL,)
    assert quarantine.changed_since(1, 9) == (BESIDE,)
    quarantine.record_target_end(FATAL, end("b", 1), after(1))
    assert quarantine.changed_since(2, 9) == (FATAL,)
    quarantine.clear_content(BESIDE, after(2), after(2))
    assert quarantine.changed_since(3, 9) == (BESIDE,)


def test_what_stays_quiet_is_forgotten(quarantine) -> None:
    quarantine.record_target_end(BESIDE, end("a"), START)
    for number in range(3):
        quarantine.record_target_end(FATAL, end(f"t{number}"), START)
    quarantine.expire_suspicions(START + POLICY.retention + seconds(1))
    assert set(quarantine.suspicions) == {FATAL}
    quarantine.expire_suspicions(
        START + POLICY.long_hold + POLICY.retention + seconds(1)
    )
    assert not quarantine.suspicions


def test_a_flood_of_contents_pushes_out_those_with_one_end() -> None:
    small = Quarantine(QuarantinePolicy(max_contents=4))
    for target in "ab":
        small.record_target_end(FATAL, end(target), START)
    for number in range(50):
        small.record_target_end(ContentId(f"c{number}"), end("a"), after(number))
    assert len(small.suspicions) == 4
    assert small.remaining_hold(FATAL, START)


@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.integers(0, 3), st.integers(0, 20)),
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_hosts_that_hear_the_same_in_any_order_agree(told, random) -> None:
    """The earliest moment told of an end stays, whichever comes first."""
    policy = QuarantinePolicy(max_ends=64)
    shuffled = [*told, *told]
    random.shuffle(shuffled)
    seen = []
    for order in (told, shuffled):
        host = Quarantine(policy)
        for target, incarnation, at_s in order:
            host.record_target_end(FATAL, end(target, at_s, incarnation), after(30))
        seen.append((set(host.ends_of(FATAL)), host.held_until(FATAL)))
    assert seen[0] == seen[1]
