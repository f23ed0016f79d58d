"""Numbers of the changes of targets' statements, so that each peer hears new ones."""

from dataclasses import dataclass, field

from ..names import TargetId


@dataclass(slots=True)
class ChangeLog:
    """The last change of what each target states.

    Parameters
    ----------
    numbers : dict
        Number of the last change, by target. Numbers only grow.
    """

    numbers: dict[TargetId, int] = field(default_factory=dict)
    last_number: int = 0

    def record(self, target: TargetId) -> None:
        """Record that peers should hear what a target states."""
        self.last_number += 1
        self.numbers[target] = self.last_number

    def since(self, number: int) -> list[TargetId]:
        """Return the targets that changed after a number, oldest change first."""
        changed = [t for t, n in self.numbers.items() if n > number]
        return sorted(changed, key=lambda target: self.numbers[target])

    def forget(self, target: TargetId) -> None:
        """Drop what was recorded of a target."""
        self.numbers.pop(target, None)
