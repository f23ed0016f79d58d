"""What a serving host does beside serving: housekeeping, and its status page."""

import asyncio
import gc
from dataclasses import asdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .serving_host import ServingHost

HOUSEKEEPING_PERIOD_S = 0.5


async def run_housekeeping(host: "ServingHost") -> None:
    """Flush the log, update gauges and expire contents, again and again.

    Objects that exist when it starts are excluded from garbage collection, so that
    garbage in reference cycles does not make memory grow.
    """
    gc.freeze()
    while True:
        await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
        host.output.write_pending()
        host.metrics.log_lines_left_out.set({}, host.output.left_out_lines)
        host.metrics.in_flight.set({}, host.server.in_flight)
        host.server.log_left_unread()
        host.metrics.loop_lag.set({}, host.lag.current.total_seconds())
        host.feature_guard.expire()
        host.statements.expire()
        host.streams.do_housekeeping()
        host.store_parts.do_housekeeping()
        host.versions.do_housekeeping()
        host.state.count_hosts()
        host.metrics.set_share_weights(host.state.quotas.current_weights())
        held = host.feature_guard.held_contents()
        host.metrics.quarantined.set({}, len(held))
        config = host.state.catalogue.config
        host.metrics.config_version.set({}, config.version if config else 0)


def describe_host(host: "ServingHost") -> dict[str, object]:
    """Return a host's state for the status page."""
    catalogue = host.store.catalogue
    return {
        "host": host.profile.host_id,
        "data_centre": host.profile.data_centre,
        "ready": host.is_ready(),
        "stopping": host.is_stopping,
        "config_version": catalogue.config.version if catalogue.config else 0,
        "store_revision": catalogue.revision,
        "store_age_s": min(host.store.age_s(), 1e6),
        "behind_peers": host.store.freshness.is_behind,
        "reads_store": host.fleet.is_reader(),
        "hub": "" if host.fleet.is_mesh else host.fleet.hub().host_id,
        "live_hosts": host.fleet.live_hosts,
        "cut_off": host.paths.monitor.paths.is_cut_off,
        "lost_paths": sorted(str(a) for a in host.paths.monitor.paths.lost),
        "orders_engines": host.lease.is_holder,
        "in_flight": host.server.in_flight,
        "quarantined": [asdict(held) for held in host.feature_guard.held_contents()],
        "adapter_versions": [asdict(v) for v in host.versions.listed()],
        "peers": sorted(p.contact.host_id for p in host.fleet.live_peers()),
        "leaving": sorted(host.state.statements.leaving.statements),
        "backoffs": host.state.statements.backoffs.left_s(host.clock.monotonic()),
        "targets": {t: p.target.presence.value for t, p in catalogue.targets.items()},
    }
