"""Shares of organisations in engines' room while it is scarce."""

from .service_shares import ServiceShares
from .weights import MIN_WEIGHT, RecentUse, fair_level

__all__ = ["MIN_WEIGHT", "RecentUse", "ServiceShares", "fair_level"]
