"""Permits that one host issues for all."""

from sardinequay_core.names import HostId
from sardinequay_daemon.statements.limit_messages import AskToSend

from .limit_helpers import hear, news, rate


async def test_issuer_learns_of_a_limit_by_the_request_for_a_permit(
    issuer, clock
) -> None:
    """A host that has just started issues nothing until permits have accrued."""
    first = await issuer.handle_ask(AskToSend(HostId("h3"), None, news(2.0)))
    assert first.start_in_s is None
    assert rate(issuer.recorder) == 2.0
    clock.advance(1)
    reply = await issuer.handle_ask(AskToSend(HostId("h3"), None, news(2.0)))
    assert reply.start_in_s == 0


async def test_hosts_cut_off_from_others_issue_only_their_part(issuer) -> None:
    issuer.live_fraction = lambda: 0.25
    ask = AskToSend(HostId("h3"), 9.0, news(2.0))
    replies = [await issuer.handle_ask(ask) for _ in range(3)]
    assert [r.start_in_s for r in replies] == [2.0, 4.0, 6.0]


def test_schedule_ends_with_its_limit(issuer, recorder, clock) -> None:
    hear(recorder, 2.0)
    issuer.issue(AskToSend(HostId("h3"), None, news()))
    clock.advance(11)
    issuer.expire()
    assert issuer.schedules == {}
