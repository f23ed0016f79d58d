"""What the framer of answers lets through is the same to both of aiohttp's parsers."""

import asyncio
from random import Random

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParserC, HttpResponseParserPy

from sardinequay_core.answer_framing import AnswerFramer, BodyEnd
from sardinequay_lab.broken_answers import answer_cases

ANSWERS = 20_000
ENOUGH_LET_THROUGH = 2_000
MAX_BYTES = 3_000
MAX_PARSED_BYTES = 40_000
PIECES = (
    *(b" ", b":", b"\r\n", b"\t", b"0", b"\n", b"\xff", b";", b"\x00"),
    *(b"HTTP/1.0", b"204", b"304", b"chunked", b"X: y\r\n"),
    b"Content-Length: 3\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"Connection: keep-alive\r\n",
    b"Upgrade: websocket\r\nConnection: upgrade\r\n",
    b"Content-Encoding: gzip\r\n",
)


def mutate(data: bytes, random: Random) -> bytes:
    """Return an answer with pieces that were added, replaced or taken out."""
    for _ in range(random.randrange(5)):
        place = random.randrange(len(data) + 1)
        added = random.choice((random.choice(PIECES), random.randbytes(1), b""))
        data = data[:place] + added + data[place + random.choice((0, 0, 0, 1, 2)) :]
    if random.random() < 0.3:
        line_end = data.find(b"\r\n") + 2
        data = data[:line_end] + random.choice(PIECES) + data[line_end:]
    return data


def parse(parser_type, data: bytes, body_end: BodyEnd):
    """Return what a parser makes of an answer.

    A reason is compared without its blanks. Whether a connection that ends the body is
    to be closed makes no difference.
    """
    parser = parser_type(
        BaseProtocol(asyncio.get_running_loop()),
        asyncio.get_running_loop(),
        2**16,
        payload_exception=ValueError,
        read_until_eof=True,
        auto_decompress=False,
        max_line_size=MAX_PARSED_BYTES,
        max_field_size=MAX_PARSED_BYTES,
    )
    (message, *more), is_upgraded, _ = parser.feed_data(data)
    assert not more
    head, body = message
    is_kept = body_end is not BodyEnd.CONNECTION and not head.should_close
    content = b"".join(getattr(body, "_buffer", ()))
    fields = tuple(head.headers.items())
    reason = head.reason.strip()
    return head.version, head.code, reason, fields, content, is_kept, is_upgraded


async def test_both_parsers_come_to_the_same_of_what_is_let_through() -> None:
    random, let_through = Random(2), 0
    answers = [case.data() for case in answer_cases() if len(case.template) < MAX_BYTES]
    for _ in range(ANSWERS):
        data = mutate(random.choice(answers), random)
        framer = AnswerFramer()
        framed = framer.feed(data)
        if framer.head is None:
            continue
        let_through += 1
        body_end = framer.head.body_end
        in_c = parse(HttpResponseParserC, framed.data, body_end)
        assert in_c == parse(HttpResponseParserPy, framed.data, body_end), data
    assert let_through > ENOUGH_LET_THROUGH
