"""Answers as a target in trouble might send them, with the verdict on each and why.

A server library writes no such answers, so stand-ins send these bytes as they are.

References
----------
RFC 9110, sections 5.5, 6.3 and 15; RFC 9112, sections 2 to 7.
"""

from dataclasses import dataclass

MARK = b"@fields@"
"""Stands for lines that a test adds to the head."""

BODY = b"a:b\n\n"
"""A body that is also an event of a stream."""

LENGTH = b"Content-Length: 5"
CHUNKED = b"Transfer-Encoding: chunked"
CHUNKED_END = CHUNKED + b"\r\n\r\n"
CHUNKS = b"5\r\na:b\n\n\r\n0\r\n\r\n"
CONTROLS = (0x00, 0x01, 0x08, 0x0B, 0x0C, 0x0D, 0x1B, 0x1F, 0x7F)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class AnswerCase:
    """One answer, as bytes.

    Parameters
    ----------
    why : str
        Reason for the verdict.
    status : int
        Status that a caller gets of it; 0 if the answer is refused.
    body : bytes
        Body that a caller gets of it.
    """

    name: str
    template: bytes
    why: str
    status: int = 0
    body: bytes = b""

    @property
    def is_head_refused(self) -> bool:
        """Return whether the answer is refused before any byte of its body."""
        return not self.status and CHUNKED_END not in self.template

    def data(self, fields: bytes = b"") -> bytes:
        """Return the bytes, with more lines in the head.

        Parameters
        ----------
        fields : bytes
            Whole lines with their ends.
        """
        return self.template.replace(MARK, fields)


def build(
    status_line: bytes = b"HTTP/1.1 200 OK",
    fields: bytes = LENGTH,
    body: bytes = BODY,
    before: bytes = b"",
) -> bytes:
    """Return an answer with some parts replaced."""
    return b"%b%b\r\n%b%b\r\n\r\n%b" % (before, status_line, MARK, fields, body)


def with_field(line: bytes) -> bytes:
    """Return an answer with one more line in its head."""
    return build(fields=line + b"\r\n" + LENGTH)


def in_chunks(body: bytes) -> bytes:
    """Return an answer with a body in chunks."""
    return build(fields=CHUNKED, body=body)


def refused(name: str, template: bytes, why: str) -> AnswerCase:
    """Return the case of an answer that is none."""
    return AnswerCase(name, template, why)


def sound(
    name: str, template: bytes, why: str, status: int = 200, body: bytes = BODY
) -> AnswerCase:
    """Return the case of an answer that callers get."""
    return AnswerCase(name, template, why, status, body)


def status_line_cases() -> list[AnswerCase]:
    """Return the answers whose status line is none, and odd ones that are one."""
    no_class = "there are five classes of statuses, 1 to 5"
    bad = [
        refused(f"status {code}", build(b"HTTP/1.1 " + code.encode() + b" X"), no_class)
        for code in ("000", "001", "042", "099", "600", "799", "999")
    ]
    bad += [
        refused(f"status {code!r}", build(b"HTTP/1.1 " + code), "three digits")
        for code in (
            b"000",
            b"2x0 OK",
            b"20 OK",
            b"2000 OK",
            b"-200 OK",
            b"+20 OK",
            b"200OK",
            b"\xb2\xb0\xb0 OK",
            b"",
        )
    ]
    bad += [
        refused(f"version {version!r}", build(version + b" 200 OK"), "not HTTP/1")
        for version in (
            b"HTTP/2.0",
            b"HTTP/0.9",
            b"HTTP/1.2",
            b"HTTP/11",
            b"HTTP/1.10",
            b"http/1.1",
            b"ICY",
            b"",
        )
    ]
    bad += [
        refused(f"blanks {line!r}", build(line), "one blank between the parts")
        for line in (
            b" HTTP/1.1 200 OK",
            b"HTTP/1.1  200 OK",
            b"HTTP/1.1\t200\tOK",
            b"HTTP/1.1 200\tOK",
        )
    ]
    bad += [
        refused(
            f"reason with {control:02x}",
            build(b"HTTP/1.1 200 O%cK" % control),
            "no control characters in a reason",
        )
        for control in CONTROLS
    ]
    bad += [
        refused("nobody asked to switch", build(b"HTTP/1.1 101 Go"), "no final answer"),
        refused("empty line first", build(before=b"\r\n"), "begins with its status"),
        refused("bytes first", build(before=b"\x00"), "begins with its status"),
        refused("only a body", BODY + b"\r\n\r\n", "begins with its status"),
    ]
    return [
        *bad,
        sound("success", build(), "the usual answer"),
        sound("no reason", build(b"HTTP/1.1 200 "), "a reason may be empty"),
        sound("no blank", build(b"HTTP/1.1 200"), "usual, and has one meaning"),
        sound("old version", build(b"HTTP/1.0 200 OK"), "HTTP/1"),
        sound("status 299", build(b"HTTP/1.1 299 X"), "unknown, its class counts", 299),
        sound("status 404", build(b"HTTP/1.1 404 X"), "the target's own", 404),
        sound("status 599", build(b"HTTP/1.1 599 X"), "the last one", 599),
        sound("interim", build(before=INTERIM), "interim answers are skipped"),
        sound(
            "early hints",
            build(before=b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 3),
            "interim answers are skipped",
        ),
    ]


def field_cases() -> list[AnswerCase]:
    """Return the answers with odd lines in their heads."""
    bad = [
        refused(f"name {name!r}", with_field(name + b": b"), "a name is a token")
        for name in (
            b"X A",
            b"X-A ",
            b"X-A\t",
            b" X-A",
            b"\tX-A",
            b"",
            b"X(A)",
            b'"X"',
            b"X/A",
            b"X-\xe9",
            b"X-\xc3\xa9",
            *(b"X%cA" % control for control in CONTROLS),
            *(b"X-A%c" % control for control in CONTROLS),
        )
    ]
    bad += [
        refused(
            f"value with {control:02x}",
            with_field(b"X-A: b%cc" % control),
            "no control characters in a value",
        )
        for control in CONTROLS
    ]
    bad += [
        refused("no colon", with_field(b"X-A"), "a line has a name and a value"),
        refused("folded", with_field(b"X-A: b\r\n c"), "gateways may refuse folds"),
        refused("folded first", with_field(b" c"), "gateways may refuse folds"),
        refused(
            "line feeds",
            build().replace(b"\r\n", b"\n"),
            "readers differ on where a head ends",
        ),
        refused(
            "a line feed", with_field(b"X-A: b\nX-B: c"), "readers differ on its lines"
        ),
        refused(
            "too many fields",
            build(fields=b"X-A: b\r\n" * 200 + LENGTH),
            "each costs memory",
        ),
        refused(
            "head too large", with_field(b"X-A: " + b"x" * 70_000), "it is kept whole"
        ),
        refused(
            "odd interim",
            build(before=b"HTTP/1.1 100 Go\r\nX A: b\r\n\r\n"),
            "heads of interim answers are heads",
        ),
        refused(
            "interim 199 times", build(before=INTERIM * 199), "none asked for them"
        ),
    ]
    return [
        *bad,
        sound("tab in a value", with_field(b"X-A: b\tc"), "white space"),
        sound("no value", with_field(b"X-A:"), "a value may be empty"),
        sound("UTF-8", with_field(b"X-A: \xc3\xa9"), "passed on unchanged"),
        sound("8 bits", with_field(b"X-A: \xff\xfe"), "opaque; hosts leave them out"),
        sound(
            "token", with_field(b"!#$%&'*+-.^_`|~09aZ: b"), "all of these are allowed"
        ),
        sound("same name twice", with_field(b"X-A: b\r\nX-A: c"), "a list"),
        sound(
            "upgrade offered",
            with_field(b"Upgrade: websocket\r\nConnection: upgrade"),
            "only an offer, as nothing is switched",
        ),
    ]


def length_cases() -> list[AnswerCase]:
    """Return the answers whose heads leave open where they end."""
    bad = [
        refused(
            f"length {value!r}",
            build(fields=b"Content-Length:" + value),
            "no number of bytes",
        )
        for value in (
            b"",
            b" +5",
            b" -5",
            b" 0x5",
            b" 5a",
            b" 5 5",
            b" 5, 5",
            b" 5.0",
            b" " + b"9" * 30,
            b" \xd9\xa5",
        )
    ]
    bad += [
        refused(f"coding {value!r}", in_coding(value), "cannot be undone, or is none")
        for value in (
            b"",
            b"identity",
            b"gzip",
            b"chunked, identity",
            b"identity, chunked",
            b"gzip, chunked",
            b"chunked, chunked",
            b"xchunked",
            b"chunked;a=b",
            b"chunked,",
            b'"chunked"',
        )
    ]
    return [
        *bad,
        refused(
            "two lengths",
            build(fields=b"Content-Length: 5\r\nContent-Length: 6"),
            "readers differ",
        ),
        refused(
            "equal lengths",
            build(fields=b"Content-Length: 5\r\nContent-Length: 5"),
            "readers differ",
        ),
        refused(
            "two codings",
            build(fields=CHUNKED + b"\r\n" + CHUNKED, body=CHUNKS),
            "readers differ",
        ),
        refused(
            "length and chunks",
            build(fields=LENGTH + b"\r\n" + CHUNKED, body=CHUNKS),
            "readers differ",
        ),
        refused(
            "chunks in the old version",
            build(b"HTTP/1.0 200 OK", fields=CHUNKED, body=CHUNKS),
            "it knows no chunks",
        ),
        refused(
            "chunks of no content",
            build(b"HTTP/1.1 204 X", fields=CHUNKED, body=CHUNKS),
            "it has no body",
        ),
        refused("length of no content", build(b"HTTP/1.1 204 X"), "it has no body"),
        sound(
            "no content", build(b"HTTP/1.1 204 X", b"X-A: b", b""), "no body", 204, b""
        ),
        sound(
            "no content of no length",
            build(b"HTTP/1.1 204 X", b"Content-Length: 0", b""),
            "both say the same",
            204,
            b"",
        ),
        sound(
            "not modified", build(b"HTTP/1.1 304 X", LENGTH, b""), "no body", 304, b""
        ),
        sound("zeros first", build(fields=b"Content-Length: 0005"), "a number"),
        sound("blanks around", build(fields=b"Content-Length: \t 5 \t"), "white space"),
        sound("no length", build(fields=b"Connection: close"), "ends with connection"),
        sound("any case", in_coding(b"cHUNKED"), "codings have no case"),
    ]


def in_coding(value: bytes) -> bytes:
    """Return an answer with a transfer coding whose bytes are those of chunks."""
    return build(fields=b"Transfer-Encoding: " + value, body=CHUNKS)


def chunk_cases() -> list[AnswerCase]:
    """Return the answers with odd chunks."""
    sizes = (
        b" 5",
        b"\t5",
        b"",
        b"0x5",
        b"+5",
        b"-5",
        b"5.0",
        b"g",
        b"5 5",
        b"5;a\x01",
        b"5;" + b"a" * 9_000,
        b"0" * 30 + b"5",
        b"f" * 17,
    )
    bad = [
        refused(
            f"size {size[:9]!r}",
            in_chunks(size + b"\r\na:b\n\n\r\n0\r\n\r\n"),
            "no size, or beyond all bounds",
        )
        for size in sizes
    ]
    ends = (
        (b"5\na:b\n\n\r\n0\r\n\r\n", "line feed after a size"),
        (b"5\r\na:b\n\n\n0\r\n\r\n", "line feed after a chunk"),
        (b"5\r\na:b\n\nX\r\n0\r\n\r\n", "a chunk that is longer"),
        (b"5\r\na:b\n\n\r\n0\r\nX-A\r\n\r\n", "trailer without colon"),
        (b"5\r\na:b\n\n\r\n0\r\nX A: b\r\n\r\n", "trailer with a blank"),
        (b"5\r\na:b\n\n\r\n0\r\nX-A: \x01\r\n\r\n", "trailer with 01"),
        (
            b"5\r\na:b\n\n\r\n0\r\n" + b"X-A: b\r\n" * 2_000 + b"\r\n",
            "trailers too large",
        ),
        (b"5\r\na:b\n\n\r\nno chunk\r\n", "text"),
        (b"HTTP/1.1 200 OK\r\n\r\n", "another answer"),
    )
    bad += [
        refused(f"chunks: {name}", in_chunks(body), "no chunks") for body, name in ends
    ]
    return [
        *bad,
        sound("chunks", in_chunks(CHUNKS), "the usual body in chunks"),
        sound(
            "two chunks", in_chunks(b"2\r\na:\r\n3\r\nb\n\n\r\n0\r\n\r\n"), "one body"
        ),
        sound(
            "zeros before a size", in_chunks(b"0005\r\na:b\n\n\r\n000\r\n\r\n"), "same"
        ),
        sound(
            "blank after a size",
            in_chunks(b"5 \r\na:b\n\n\r\n0\r\n\r\n"),
            "white space",
        ),
        sound("extension", in_chunks(b'5;a="b"\r\na:b\n\n\r\n0;c\r\n\r\n'), "dropped"),
        sound("trailers", in_chunks(b"5\r\na:b\n\n\r\n0\r\nX-A: b\r\n\r\n"), "dropped"),
    ]


def answer_cases() -> list[AnswerCase]:
    """Return all cases; their names differ."""
    return [*status_line_cases(), *field_cases(), *length_cases(), *chunk_cases()]


def refused_cases() -> list[AnswerCase]:
    """Return the answers that are none."""
    return [case for case in answer_cases() if not case.status]
