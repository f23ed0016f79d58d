"""Keepers, holders and one engine: late and lost messages, keepers that wake late.

The promise: an adapter is never evicted while a request runs on it. Reports are as old
as the policy allows; half of the histories do not trust them for ending a wait.
"""

from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random
from typing import Any

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.engine_record import (
    EngineReport,
    KeeperPolicy,
    LoadCommand,
    RecallCommand,
    UnloadCommand,
)
from sardinequay_core.keeper import SUFFIX_BITS, Keeper
from sardinequay_core.leases import AdapterUse, HolderId, LeaseTable
from sardinequay_core.load_queue import LoadPolicy
from sardinequay_core.names import (
    AdapterRef,
    Address,
    DataCentre,
    PoolName,
    TargetId,
)
from sardinequay_core.roster import Target, TargetKind

from .exploration import Action, Violation, perform

ENGINE = TargetId("engine")
ADAPTERS = tuple(AdapterRef(name, "1") for name in ("x", "y", "z"))
LONGEST = seconds(6)
LAG = seconds(1)
POLICY = KeeperPolicy(
    lease_duration=seconds(4),
    longest_request=LONGEST,
    report_lag=LAG,
    report_timeout=seconds(30),
    load_policy=LoadPolicy(
        loads_per_s=10, burst=5, load_time=seconds(0.1), initial_backoff=seconds(0.2)
    ),
)
SLOTS = 2
MAX_PACKETS = 24
KEEPERS = ("k1", "k2")
HOLDERS = ("h1", "h2")
WEIGHTS = {
    "deliver": 6.0,
    "drop": 0.2,
    "time out": 0.15,
    "tick": 2.0,
    "report": 1.5,
    "want": 0.7,
    "acquire": 0.5,
    "renew": 0.5,
    "begin": 1.5,
    "end": 0.3,
    "appoint": 0.02,
    "restart engine": 0.01,
    "restart holder": 0.01,
    "wait": 0.5,
}


@dataclass(slots=True)
class Packet:
    """A message on its way; `keeper` is the very instance that asked or is asked."""

    kind: str
    message: Any
    keeper: Keeper
    holder: str = ""
    sequence: int = 0
    asked_at: Instant = timedelta(0)
    timed_out: bool = False


@dataclass(slots=True)
class Running:
    """A request on the engine."""

    use: AdapterUse
    holder: str
    table: LeaseTable
    ends_by: Instant


@dataclass(slots=True)
class EngineModel:
    """The engine as it really is."""

    checks_fencing: bool
    slots: int = SLOTS
    incarnation: int = 1
    highest_token: int = 0
    resident: set[AdapterRef] = field(default_factory=set)
    running: list[Running] = field(default_factory=list)

    def accepts(self, token: int) -> bool:
        """Return whether an order is obeyed."""
        if not self.checks_fencing:
            return True
        if token < self.highest_token:
            return False
        self.highest_token = token
        return True

    def report(self) -> EngineReport:
        """Return what the engine says of itself."""
        token = self.highest_token if self.checks_fencing else 0
        resident = tuple(sorted(self.resident))
        in_use = tuple(sorted({r.use.adapter for r in self.running}))
        return EngineReport(
            ENGINE, str(self.incarnation), token, self.slots, resident, in_use=in_use
        )


class LeaseWorld:
    """Two hosts that may be keeper, two that hold leases, one engine."""

    def __init__(self, random: Random, checks_fencing: bool = True) -> None:
        self.random = random
        self.now = seconds(1000)
        self.engine = EngineModel(checks_fencing)
        self.target = Target(
            ENGINE,
            PoolName("pool"),
            TargetKind.ENGINE,
            DataCentre("home"),
            Address("127.0.0.1", 1),
            checks_fencing=checks_fencing,
        )
        self.policy = replace(POLICY, are_reports_trusted=random.random() < 0.5)
        self.reports: list[tuple[Instant, EngineReport]] = []
        self.keepers = {"k1": self.appointed()}
        self.holders = {name: LeaseTable() for name in HOLDERS}
        self.packets: list[Packet] = []
        self.tickets = 0
        self.notes: Counter[str] = Counter()

    def appointed(self) -> Keeper:
        """Return a keeper that knows nothing yet."""
        keeper = Keeper(self.policy, self.random.getrandbits(SUFFIX_BITS), self.now)
        keeper.set_targets([self.target])
        return keeper

    def reached(self) -> Counter[str]:
        """Return how often what matters came up."""
        return self.notes

    # What may happen.

    def actions(self) -> list[Action]:
        """Return what may happen now."""
        actions: list[Action] = [("wait", 0.3), ("wait", 2.0), ("restart engine",)]
        for index, packet in enumerate(self.packets):
            actions += [("deliver", index), ("drop", index)]
            if packet.kind in ("load", "unload") and not packet.timed_out:
                actions.append(("time out", index))
        for name in self.keepers:
            actions += [("tick", name), ("report", name)]
            actions += [("want", name, n) for n in range(len(ADAPTERS))]
        actions += [("appoint", name) for name in KEEPERS]
        for holder, table in self.holders.items():
            actions.append(("restart holder", holder))
            for name in self.keepers:
                actions.append(("renew", holder, name))
                actions += [("acquire", holder, name, n) for n in range(len(ADAPTERS))]
            usable = [
                n for n, a in enumerate(ADAPTERS) if table.usable_uses(a, self.now)
            ]
            actions += [("begin", holder, n) for n in usable]
        actions += [("end", n) for n in range(len(self.engine.running))]
        return actions

    def weight(self, action: Action) -> float:
        """Return how likely an action is."""
        return WEIGHTS[str(action[0])]

    def apply(self, action: Action) -> None:
        """Let one action happen."""
        perform(self, action)

    def do_wait(self, duration: float) -> None:
        """Let time pass; no request outlasts its bound."""
        self.now += seconds(duration)
        for running in list(self.engine.running):
            if running.ends_by <= self.now:
                self.finish(running)

    def do_appoint(self, name: str) -> None:
        """Make a host keeper anew; the one before may go on believing it is."""
        self.keepers[name] = self.appointed()

    def do_tick(self, name: str) -> None:
        """Let a keeper decide, however long it slept."""
        keeper = self.keepers[name]
        for command in keeper.tick(self.now):
            if isinstance(command, LoadCommand):
                self.send(Packet("load", command, keeper, asked_at=self.now))
            elif isinstance(command, UnloadCommand):
                self.send(Packet("unload", command, keeper, asked_at=self.now))
            elif isinstance(command, RecallCommand):
                self.send(Packet("recall", command, keeper, command.holder))

    def do_report(self, name: str) -> None:
        """Have a keeper ask the engine for its report."""
        self.send(Packet("report", None, self.keepers[name], asked_at=self.now))

    def do_want(self, name: str, number: int) -> None:
        """Have somebody wait for an adapter at a keeper."""
        self.tickets += 1
        deadline = self.now + seconds(60)
        self.keepers[name].handle_load_request(
            self.tickets, ADAPTERS[number], deadline, self.now
        )

    def do_acquire(self, holder: str, name: str, number: int) -> None:
        """Have a holder ask for leases."""
        sequence = self.holders[holder].next_sequence()
        packet = Packet("acquire", ADAPTERS[number], self.keepers[name], holder)
        packet.sequence, packet.asked_at = sequence, self.now
        self.send(packet)

    def do_renew(self, holder: str, name: str) -> None:
        """Have a holder renew what it holds."""
        table = self.holders[holder]
        table.expire_idle(self.now)
        packet = Packet("renew", tuple(table.held_leases()), self.keepers[name], holder)
        packet.sequence, packet.asked_at = table.next_sequence(), self.now
        self.send(packet)

    def do_begin(self, holder: str, number: int) -> None:
        """Dispatch a request: the lease is checked as its bytes leave."""
        table = self.holders[holder]
        use = AdapterUse(ADAPTERS[number], ENGINE)
        if not table.begin_request(use, self.now):
            return
        if use.adapter not in self.engine.resident:
            self.notes["not loaded"] += 1
            table.end_request(use)
            table.return_lease(use)
            return
        self.notes["ran"] += 1
        running = Running(use, holder, table, self.now + LONGEST)
        self.engine.running.append(running)

    def do_end(self, index: int) -> None:
        """Let a request end."""
        self.finish(self.engine.running[index])

    def finish(self, running: Running) -> None:
        """Take a request off the engine and off its lease."""
        self.engine.running.remove(running)
        if running.table.end_request(running.use):
            self.tell_return(running.use, running.holder, running.table)

    def tell_return(self, use: AdapterUse, holder: str, table: LeaseTable) -> None:
        """Have a holder tell every keeper that it returns a lease."""
        for keeper in self.keepers.values():
            packet = Packet("give back", use, keeper, holder)
            packet.sequence = table.next_sequence()
            self.send(packet)

    def do_restart_engine(self) -> None:
        """Restart the engine: it loses its adapters, requests and highest token."""
        self.engine.incarnation += 1
        self.engine.highest_token = 0
        self.engine.resident.clear()
        for running in list(self.engine.running):
            self.finish(running)

    def do_restart_holder(self, holder: str) -> None:
        """Restart a holder; its requests may run on without it."""
        name = next(n for n in self.holders if n == holder)
        self.holders = {
            (f"{n}'" if n == name else n): (LeaseTable() if n == name else table)
            for n, table in self.holders.items()
        }

    # Messages.

    def send(self, packet: Packet) -> None:
        """Put a message on its way."""
        if len(self.packets) < MAX_PACKETS:
            self.packets.append(packet)
        else:
            self.lost(packet)

    def lost(self, packet: Packet) -> None:
        """Tell a keeper of an order without an answer."""
        if packet.timed_out:
            return
        if packet.kind in ("load", "loaded"):
            packet.keeper.handle_load_failed(packet.message.use, self.now)
        elif packet.kind in ("unload", "unloaded"):
            packet.keeper.handle_unload_failed(packet.message.use)

    def do_drop(self, index: int) -> None:
        """Lose a message."""
        self.lost(self.packets.pop(index))

    def do_time_out(self, index: int) -> None:
        """Let a keeper give up on an order that may still arrive."""
        packet = self.packets[index]
        self.lost(packet)
        packet.timed_out = True

    def do_deliver(self, index: int) -> None:
        """Deliver a message, whichever was sent first."""
        packet = self.packets.pop(index)
        getattr(self, "take_" + packet.kind.replace(" ", "_"))(packet)

    def reply(self, kind: str, packet: Packet, message: Any) -> None:
        """Put an answer on its way."""
        self.send(
            Packet(
                kind,
                message,
                packet.keeper,
                packet.holder,
                packet.sequence,
                packet.asked_at,
                packet.timed_out,
            )
        )

    def take_report(self, packet: Packet) -> None:
        """Let the engine report: what it is, or what it was a moment ago."""
        self.reports.append((self.now, self.engine.report()))
        recent = [r for at, r in self.reports if at + LAG >= self.now]
        self.reply("reported", packet, self.random.choice(recent))

    def take_reported(self, packet: Packet) -> None:
        """Let a keeper take a report."""
        packet.keeper.handle_report(packet.message, packet.asked_at, self.now)

    def take_load(self, packet: Packet) -> None:
        """Let the engine obey an order to load."""
        use = packet.message.use
        if not self.engine.accepts(packet.message.token):
            self.reply("refused", packet, packet.message)
            return
        is_there = use.adapter in self.engine.resident
        if not is_there and len(self.engine.resident) >= self.engine.slots:
            self.lost(packet)
            return
        self.engine.resident.add(use.adapter)
        self.reply("loaded", packet, packet.message)

    def take_loaded(self, packet: Packet) -> None:
        """Let a keeper take the end of a load."""
        if not packet.timed_out:
            took = self.now - packet.asked_at
            packet.keeper.handle_load_done(packet.message.use, took, self.now)

    def take_unload(self, packet: Packet) -> None:
        """Let the engine obey an order to evict; in use, that breaks the promise."""
        use = packet.message.use
        if not self.engine.accepts(packet.message.token):
            self.reply("refused", packet, packet.message)
            return
        in_use = [r.holder for r in self.engine.running if r.use == use]
        if in_use and use.adapter in self.engine.resident:
            raise Violation(f"{use.adapter} evicted under requests of {in_use}")
        self.engine.resident.discard(use.adapter)
        self.notes["evicted"] += 1
        self.reply("unloaded", packet, packet.message)

    def take_unloaded(self, packet: Packet) -> None:
        """Let a keeper take the end of an eviction."""
        if not packet.timed_out:
            packet.keeper.handle_unload_done(packet.message.use, self.now)

    def take_refused(self, packet: Packet) -> None:
        """Let a keeper learn that its token is old."""
        self.notes["old token refused"] += 1
        packet.keeper.handle_superseded(ENGINE, self.now)

    def take_acquire(self, packet: Packet) -> None:
        """Let a keeper grant."""
        granted = packet.keeper.handle_acquire(
            HolderId(packet.holder), packet.message, packet.sequence, self.now
        )
        self.reply("granted", packet, (granted, ()))

    def take_renew(self, packet: Packet) -> None:
        """Let a keeper renew."""
        renewed = packet.keeper.handle_renew(
            HolderId(packet.holder), packet.message, packet.sequence, self.now
        )
        self.reply("granted", packet, (renewed, packet.message))

    def take_granted(self, packet: Packet) -> None:
        """Let a holder take leases; what was not renewed is recalled."""
        table = self.holders.get(packet.holder)
        if table is None:
            return
        granted, asked = packet.message
        for use, lasts in granted:
            table.record_grant(use, packet.asked_at + lasts, packet.sequence)
        kept = {use for use, _ in granted}
        for use, _ in asked:
            if use not in kept and not table.handle_recall(use):
                self.tell_return(use, packet.holder, table)

    def take_recall(self, packet: Packet) -> None:
        """Let a holder stop, and say what still runs."""
        table = self.holders.get(packet.holder)
        if table is not None:
            in_flight = table.handle_recall(packet.message.use)
            packet.sequence = table.next_sequence()
            self.reply("recalled", packet, (packet.message.use, in_flight))

    def take_recalled(self, packet: Packet) -> None:
        """Let a keeper take a lease back that nothing runs on."""
        use, in_flight = packet.message
        if not in_flight:
            packet.keeper.handle_lease_return(
                HolderId(packet.holder), use, packet.sequence
            )

    def take_give_back(self, packet: Packet) -> None:
        """Let a keeper take a lease back."""
        holder = HolderId(packet.holder)
        packet.keeper.handle_lease_return(holder, packet.message, packet.sequence)
