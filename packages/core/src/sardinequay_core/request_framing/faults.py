"""What is wrong with a request that cannot be framed."""

from enum import Enum

from ..outcome import Reason, Refusal, not_run_refusal


class FramingFault(Enum):
    """Why a caller's bytes are refused; the value is the metric label."""

    BAD_HEAD = "bad_head"
    BAD_LINE_END = "bad_line_end"
    EMPTY_LINES = "empty_lines"
    HEAD_TOO_LARGE = "head_too_large"
    TOO_MANY_HEADERS = "too_many_headers"
    AMBIGUOUS_LENGTH = "ambiguous_length"
    TUNNEL = "tunnel"
    BAD_CHUNK = "bad_chunk"
    BAD_TRAILERS = "bad_trailers"
    TRAILERS_TOO_LARGE = "trailers_too_large"
    UNPARSED = "unparsed"


MESSAGES = {
    FramingFault.BAD_HEAD: "the head is no head of an HTTP/1.1 request",
    FramingFault.BAD_LINE_END: "a line of the head does not end with CR LF",
    FramingFault.EMPTY_LINES: "too many empty lines before the request",
    FramingFault.HEAD_TOO_LARGE: "the headers exceed the limit",
    FramingFault.TOO_MANY_HEADERS: "the request has too many headers",
    FramingFault.AMBIGUOUS_LENGTH: "the headers leave the length of the body open",
    FramingFault.TUNNEL: "tunnels are not offered",
    FramingFault.BAD_CHUNK: "the body is not sent in valid chunks",
    FramingFault.BAD_TRAILERS: "the lines after the last chunk are no trailers",
    FramingFault.TRAILERS_TOO_LARGE: "the trailers exceed the limit",
    FramingFault.UNPARSED: "the request cannot be parsed",
}

TOO_LARGE_FAULTS = frozenset(
    {
        FramingFault.HEAD_TOO_LARGE,
        FramingFault.TOO_MANY_HEADERS,
        FramingFault.TRAILERS_TOO_LARGE,
    }
)


class RequestFramingError(Exception):
    """A caller's bytes are not within the limits, or no request.

    The text never holds what the caller sent.
    """

    def __init__(self, fault: FramingFault) -> None:
        super().__init__(MESSAGES[fault])
        self.fault = fault

    @property
    def refusal(self) -> Refusal:
        """Return the refusal of the request, which has not been sent anywhere."""
        reason = (
            Reason.HEADERS_TOO_LARGE
            if self.fault in TOO_LARGE_FAULTS
            else Reason.MALFORMED
        )
        return not_run_refusal(reason, MESSAGES[self.fault])
