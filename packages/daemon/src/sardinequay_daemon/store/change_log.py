"""Log lines about changes of the catalogue."""

import logging

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.names import TargetId

log = logging.getLogger(__name__)


def log_changes(before: Catalogue, after: Catalogue, source: str) -> None:
    """Log changes of the configuration version and of the targets' states.

    Parameters
    ----------
    source : str
        Where the changes come from: the store, or a peer's id.
    """
    old_version, new_version = config_version(before), config_version(after)
    if new_version != old_version:
        log.info(
            "configuration in force",
            extra={
                "version": new_version,
                "before": old_version,
                "revision": after.revision,
                "source": source,
            },
        )
    for target_id in {*before.targets, *after.targets}:
        old_state, new_state = state_of(before, target_id), state_of(after, target_id)
        if target_id in after.unconfirmed and target_id not in before.unconfirmed:
            new_state = "unconfirmed"
        if old_state != new_state:
            log.info(
                "target changed",
                extra={
                    "target": target_id,
                    "before": old_state,
                    "after": new_state,
                    "revision": after.revision,
                    "source": source,
                },
            )


def config_version(catalogue: Catalogue) -> int:
    """Return the version of the configuration; 0 if there is none."""
    return catalogue.config.version if catalogue.config else 0


def state_of(catalogue: Catalogue, target_id: TargetId) -> str:
    """Return the state of a target, by its entry."""
    published = catalogue.targets.get(target_id)
    return published.target.presence.value if published else "absent"
