"""What is wrong with bytes that are no answer."""

from enum import Enum


class AnswerFault(Enum):
    """Why a target's bytes are refused; the value is shown in logs."""

    BAD_STATUS_LINE = "bad_status_line"
    BAD_FIELD = "bad_field"
    BAD_LINE_END = "bad_line_end"
    HEAD_TOO_LARGE = "head_too_large"
    TOO_MANY_FIELDS = "too_many_fields"
    TOO_MANY_INTERIM = "too_many_interim"
    PROTOCOL_SWITCHED = "protocol_switched"
    AMBIGUOUS_LENGTH = "ambiguous_length"
    BAD_CHUNK = "bad_chunk"
    BAD_TRAILERS = "bad_trailers"
    TRAILERS_TOO_LARGE = "trailers_too_large"


class AnswerFramingError(Exception):
    """A target's bytes are no answer.

    The text never holds what the target sent.
    """

    def __init__(self, fault: AnswerFault) -> None:
        super().__init__(f"no answer: {fault.value}")
        self.fault = fault
