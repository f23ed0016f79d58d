"""How far a new version of an adapter is in force."""

from .progress import VersionProgress
from .rollouts import RolloutUpdate, VersionRollout, VersionRollouts

__all__ = ["RolloutUpdate", "VersionProgress", "VersionRollout", "VersionRollouts"]
