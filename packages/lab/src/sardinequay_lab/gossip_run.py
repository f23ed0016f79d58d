"""Membership of many hosts in one process, on a virtual clock."""

from collections.abc import Callable
from random import Random

from sardinequay_core.clock import seconds
from sardinequay_core.membership import Health, Member, Membership, MembershipPolicy
from sardinequay_core.names import Address, HostId
from sardinequay_daemon.messages import InForce, Ping, Pong
from sardinequay_daemon.wire import FrameKind, encode_frame, encode_message

NOW = seconds(1000)
SETTLE_STEPS = 40


class GossipRun:
    """Membership of many hosts in one process, on a virtual clock."""

    def __init__(self, hosts: int) -> None:
        self.policy = MembershipPolicy()
        self.in_force = InForce(1, "0" * 64, 1)
        self.now = NOW
        self.sent = 0
        self.silent: set[HostId] = set()
        self.views: dict[HostId, Membership] = {}
        members = [
            Member(HostId(f"h{n}"), Address("127.0.0.1", n + 1), 1)
            for n in range(hosts)
        ]
        for member in members:
            self.join(member, members)

    def join(self, member: Member, listed: list[Member]) -> None:
        """Have a host join that knows the platform's list."""
        random = Random(len(self.views))
        made = Membership(member, self.policy, random)
        made.add_listed(listed, self.now)
        self.views[member.host_id] = made

    def step(self) -> None:
        """Let one period pass: every host that lives pings one other."""
        self.now += self.policy.ping_interval
        for name, view in self.views.items():
            if name not in self.silent:
                view.expire_members(self.now)
                self.ping(view)

    def ping(self, view: Membership) -> None:
        """Have a host ping the next member."""
        other = view.next_ping_target()
        if other is None:
            return
        ping = Ping(view.updates_to_send(), self.in_force)
        self.sent += len(encode_frame(encode_message(FrameKind.REQUEST, 1, ping)))
        if other.host_id in self.silent:
            view.record_ping_timeout(other.host_id, self.now)
            return
        far = self.views[other.host_id]
        far.handle_updates(ping.news, self.now)
        pong = Pong(far.updates_to_send(), self.in_force)
        self.sent += len(encode_frame(encode_message(FrameKind.REPLY, 1, pong)))
        view.handle_updates(pong.news, self.now)
        view.record_ping_answer(other.host_id, self.now)

    def steps_until(self, is_so: Callable[[Membership], bool]) -> float:
        """Step until something holds for every living host; return the seconds."""
        began = self.now
        while not all(is_so(v) for n, v in self.views.items() if n not in self.silent):
            self.step()
        return (self.now - began).total_seconds()


def gossip(hosts: int) -> tuple[float, float, float]:
    """Run membership of many hosts.

    Returns
    -------
    tuple of float
        Bytes a second that a host sends, seconds until all hosts hold a killed one for
        dead, and seconds until all know a new one.
    """
    run = GossipRun(hosts)
    for _ in range(SETTLE_STEPS):
        run.step()
    run.sent = 0
    for _ in range(SETTLE_STEPS):
        run.step()
    lasted_s = SETTLE_STEPS * run.policy.ping_interval.total_seconds()
    bytes_per_s = run.sent / hosts / lasted_s
    dead = HostId("h0")
    run.silent.add(dead)
    detected = run.steps_until(
        lambda view: view.records[dead].member.health is Health.DEAD
    )
    new = Member(HostId("new"), Address("127.0.0.1", 9999), 1)
    run.join(new, [view.self_member for view in run.views.values()])
    joined = run.steps_until(
        lambda view: (
            new.host_id in view.records or view.self_member.host_id == new.host_id
        )
    )
    return bytes_per_s, detected, joined
