"""Outcomes of requests, and every reason for a refusal."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Outcome(Enum):
    """Whether the target ran the request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request failed; the value is the wire form and the metric label."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    BAD_HEADER = "bad_header"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNAUTHENTICATED = "unauthenticated"
    NOT_OFFERED = "not_offered"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    DEADLINE_EXPIRED = "deadline_expired"
    NO_BUNDLE = "no_bundle"
    OVERLOADED = "overloaded"
    OVER_QUOTA = "over_quota"
    QUARANTINED = "quarantined"
    TARGET_LIMITED = "target_limited"
    STREAM_VERSION = "stream_version"
    BEYOND_MEMORY = "beyond_memory"
    LOAD_QUEUE_FULL = "load_queue_full"
    NO_TARGET = "no_target"
    SHUTTING_DOWN = "shutting_down"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    KEY_HELD = "key_held"
    KEY_SETTLED = "key_settled"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    ANSWER_LOST = "answer_lost"
    WRONG_ADAPTER = "wrong_adapter"
    INTERNAL = "internal"


HTTP_STATUS = {
    Reason.MALFORMED: 400,
    Reason.BAD_HEADER: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.NOT_OFFERED: 403,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.KEY_HELD: 409,
    Reason.KEY_SETTLED: 409,
    Reason.TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.OVERLOADED: 429,
    Reason.OVER_QUOTA: 429,
    Reason.INTERNAL: 500,
    Reason.TARGET_FAILED: 502,
    Reason.ANSWER_LOST: 502,
    Reason.WRONG_ADAPTER: 502,
    Reason.DEADLINE_EXPIRED: 504,
}
DEFAULT_STATUS = 503

SENT_REASONS = frozenset(
    {
        Reason.TARGET_FAILED,
        Reason.ANSWER_LOST,
        Reason.WRONG_ADAPTER,
        Reason.KEY_HELD,
        Reason.KEY_SETTLED,
        Reason.INTERNAL,
    }
)
"""Reasons given after bytes may have been sent to a target; all others come before
that."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Final response to a failed request.

    Parameters
    ----------
    reason : Reason
        Why the request failed.
    outcome : Outcome
        Whether the request ran.
    message : str
        One sentence for people.
    retry_after : timedelta or None
        Time from now after which a retry may succeed.
    """

    reason: Reason
    outcome: Outcome
    message: str
    retry_after: timedelta | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return HTTP_STATUS.get(self.reason, DEFAULT_STATUS)


def not_run_refusal(
    reason: Reason, message: str, retry_after: timedelta | None = None
) -> Refusal:
    """Return a refusal given before any byte was sent to a target."""
    if reason in SENT_REASONS:
        raise ValueError(f"{reason} does not prove that the request has not run")
    return Refusal(reason, Outcome.NOT_RUN, message, retry_after)
