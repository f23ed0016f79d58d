"""A limited target, and how tests let hosts hear of its limit."""

from returns.result import Result, Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Target, TargetKind
from sardinequay_daemon.serving_ports import AnswerFacts
from sardinequay_daemon.statements.limit_messages import LimitNews
from sardinequay_daemon.statements.limit_recorder import LimitRecorder

TARGET_ID = TargetId("t")
TARGET = PublishedTarget(
    Target(
        TARGET_ID,
        PoolName("pool"),
        TargetKind.SERVICE,
        DataCentre("za"),
        Address("127.0.0.1", 1),
    ),
    revision=1,
    slots=4,
    incarnation=1,
)


def facts(limit: Result, **more) -> AnswerFacts:
    fields = {"instance": "", "not_run": False, "is_misdirected": False}
    return AnswerFacts("r1", rate_limit=limit, **fields | more)


def hear(recorder: LimitRecorder, limit: float | None, **more) -> None:
    """Record an answer to a request that is sent now."""
    answer = facts(Success(limit), **more)
    recorder.record_answer(TARGET, answer, 200, recorder.clock.monotonic())


def rate(recorder: LimitRecorder) -> float | None:
    return recorder.limits.rate_of(TARGET_ID, recorder.clock.monotonic())


def news(limit: float | None = 2.0, age_s: float = 0.0) -> LimitNews:
    return LimitNews(TARGET_ID, limit, 1, age_s)
