"""Splits a caller's bytes into messages, within bounds, before they are parsed."""

from .faults import FramingFault, RequestFramingError
from .framer import FramedPart, RequestFramer
from .limits import FramingLimits

__all__ = [
    "FramedPart",
    "FramingFault",
    "FramingLimits",
    "RequestFramer",
    "RequestFramingError",
]
