"""Reading of whole answers to a host's own calls, up to a size."""

import aiohttp

MAX_ANSWER_BYTES = 1_048_576
"""Longest answer to a call to an engine. Reports name its models and adapters, in some
kilobytes; an engine in trouble may send without end."""


class AnswerTooLongError(aiohttp.ClientError):
    """An answer is longer than any that its caller can use."""


async def read_bounded(answer: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of an answer; close its connection if it is too long.

    Raises
    ------
    AnswerTooLongError
        If the body exceeds `max_bytes`.
    """
    parts: list[bytes] = []
    size = 0
    while part := await answer.content.readany():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            answer.close()
            raise AnswerTooLongError(f"an answer exceeds {max_bytes} bytes")
    return b"".join(parts)
