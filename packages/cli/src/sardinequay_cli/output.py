"""Output of a verb: lines of text, or one JSON document."""

import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Output:
    """The result of a verb, as text and as JSON, with the exit code."""

    lines: tuple[str, ...]
    document: dict[str, Any] = field(default_factory=dict)
    exit_code: int = 0

    def render(self, as_json: bool) -> str:
        """Return the text for standard output."""
        if as_json:
            return json.dumps(self.document, indent=2, sort_keys=True)
        return "\n".join(self.lines)
