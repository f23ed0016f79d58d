"""Judges targets' answers, and splits them into messages, before they are parsed."""

from .faults import AnswerFault, AnswerFramingError
from .framer import AnswerFramer, FramedAnswer
from .head_reader import MAX_INTERIM_ANSWERS, AnswerHeadReader
from .heads import MAX_FIELDS, MAX_HEAD_BYTES, AnswerHead, BodyEnd, read_answer_head

__all__ = [
    "MAX_FIELDS",
    "MAX_HEAD_BYTES",
    "MAX_INTERIM_ANSWERS",
    "AnswerFault",
    "AnswerFramer",
    "AnswerFramingError",
    "AnswerHead",
    "AnswerHeadReader",
    "BodyEnd",
    "FramedAnswer",
    "read_answer_head",
]
