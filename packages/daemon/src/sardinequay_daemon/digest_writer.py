"""Writes the digests that this host tells its peers, with what is new to each."""

from dataclasses import replace

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import HostId

from .fleet_task import FleetTask
from .order_task import OrderTask
from .relay_state import RelayState
from .serving_messages import Contact, Digest, EngineHoldings
from .store_task import StoreTask

TELL_AGAIN = seconds(1)
"""How long a peer that lost a message believes something old of an engine, at most."""


class DigestWriter:
    """Knows what each peer was told last."""

    def __init__(
        self,
        me: Contact,
        fleet: FleetTask,
        state: RelayState,
        store: StoreTask,
        orders: OrderTask,
        clock: Clock,
    ) -> None:
        self.me = me
        self.fleet = fleet
        self.state = state
        self.store = store
        self.orders = orders
        self.clock = clock
        self.told: dict[HostId, dict[str, tuple[tuple[int, int, int], Instant]]] = {}
        self.contacts_told: dict[HostId, int] = {}
        self.greeted: set[HostId] = set()

    def digest(self, host_id: HostId) -> Digest:
        """Return what to tell a peer now."""
        standing = self.store.standing()
        contacts = self.fleet.contacts()
        is_known = self.contacts_told.get(host_id) == len(contacts)
        self.contacts_told[host_id] = len(contacts)
        return Digest(
            host=self.me,
            is_leaving=self.fleet.is_leaving,
            contacts=() if is_known else contacts,
            shares=dict(self.state.loads.own),
            uses=self.state.adapter_uses(),
            holdings=self.untold_holdings(host_id),
            holds_lease=self.orders.lease.is_holder,
            orders_in_s=self.orders.orders_in_s,
            up_s=self.fleet.up_s(),
            store_revision=standing.revision,
            store_age_s=standing.age_s,
            outcomes=self.state.health.tally.to_tell(self.clock.monotonic()),
        )

    def greet(self, host_id: HostId) -> None:
        """Have a peer that started anew told all that its last start was told."""
        self.contacts_told.pop(host_id, None)
        self.told.pop(host_id, None)
        self.greeted.add(host_id)

    def untold_holdings(self, host_id: HostId) -> tuple[EngineHoldings, ...]:
        """Return what a peer was not told yet of the engines ordered here.

        All is told again now and then, for what was lost on the way. Telling only what
        is new saves a tenth of the bytes between data centres (0.24 to 0.22 MB a second
        at eight hosts).
        """
        now = self.clock.monotonic()
        told = self.told.setdefault(host_id, {})
        untold = []
        if host_id in self.greeted:
            # It may order engines again, and forgot which adapters they load fast.
            self.greeted.discard(host_id)
            heard = self.orders.heard_holdings.values()
            untold += [replace(h, coming={}) for h in heard]
        for holdings in self.orders.holdings():
            state = (holdings.token, holdings.number, holdings.queued)
            known = told.get(holdings.target)
            if known is not None and known[0] == state and now < known[1]:
                continue
            told[holdings.target] = (state, now + TELL_AGAIN)
            untold.append(holdings)
        return tuple(untold)
