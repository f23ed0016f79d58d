"""Non-blocking logs: bounded in rate and size; dropped lines are counted."""

import json
import logging
import os
import sys
from collections.abc import Iterator

import pytest
from pythonjsonlogger.json import JsonFormatter

from sardinequay_daemon.bounded_log import (
    FIELDS,
    MAX_BURST_ERROR_LINES,
    MAX_BURST_LINES,
    MAX_LINE_BYTES,
    MAX_PENDING_BYTES,
    RENAMED_FIELDS,
    NonBlockingLogHandler,
)

from .conftest import ManualClock


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


@pytest.fixture
def output(clock: ManualClock, pipe) -> NonBlockingLogHandler:
    handler = NonBlockingLogHandler(clock, pipe[1])
    handler.setFormatter(JsonFormatter(FIELDS, rename_fields=RENAMED_FIELDS))
    return handler


def line(text: str, level: int = logging.INFO, **fields) -> logging.LogRecord:
    record = logging.LogRecord("x", level, "", 0, text, None, None)
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def read_lines(reading: int) -> list[dict]:
    data = b""
    while True:
        try:
            data += os.read(reading, 65_536)
        except BlockingIOError:
            return [json.loads(part) for part in data.splitlines()]


def test_lines_are_json_with_their_fields(output, pipe) -> None:
    output.emit(line("target chosen", request="r1", unread_tokens=7))
    (found,) = read_lines(pipe[0])
    assert found["event"] == "target chosen"
    assert found["request"] == "r1"
    assert found["unread_tokens"] == 7


def test_lines_above_the_rate_limit_are_counted_and_reported(
    output, pipe, clock
) -> None:
    for _ in range(int(MAX_BURST_LINES) + 50):
        output.emit(line("x"))
    assert output.left_out_lines == 50
    read_lines(pipe[0])
    clock.advance(1)
    output.emit(line("later"))
    found = read_lines(pipe[0])
    assert found[0]["event"] == "log lines left out"
    assert found[0]["count"] == 50


def test_stalled_reader_does_not_block_logging(output, clock) -> None:
    text = "y" * 10_000
    for _ in range(400):
        clock.advance(1)
        output.emit(line(text))
    assert output.left_out_lines
    assert output.pending_bytes < MAX_PENDING_BYTES + 20_000


def test_queued_lines_are_written_whole_to_a_slow_reader(output, pipe, clock) -> None:
    for n in range(60):
        clock.advance(1)
        output.emit(line("z" * 3000, n=n))
    found = []
    for _ in range(20):
        reading = os.read(pipe[0], 40_000) if output.pending_lines else b""
        found.append(reading)
        output.write_pending()
    found.append(os.read(pipe[0], 1_000_000))
    lines = [json.loads(part) for part in b"".join(found).splitlines()]
    assert [x["n"] for x in lines] == list(range(60))


def test_closed_reader_raises_no_error(clock: ManualClock) -> None:
    reading, writing = os.pipe()
    handler = NonBlockingLogHandler(clock, writing)
    os.close(reading)
    handler.emit(line("x"))
    assert not handler.pending_lines
    os.close(writing)


def test_errors_are_logged_beside_too_many_other_lines(output, pipe) -> None:
    for _ in range(int(MAX_BURST_LINES) + 50):
        output.emit(line("x"))
    read_lines(pipe[0])
    output.emit(line("failed", logging.ERROR))
    assert read_lines(pipe[0])[-1]["event"] == "failed"


def test_errors_are_bounded_by_a_rate_of_their_own(output, pipe, clock) -> None:
    # Callers that caused an error each made a host log as much as they sent.
    for _ in range(int(MAX_BURST_ERROR_LINES) + 50):
        output.emit(line("failed", logging.ERROR))
    assert output.left_out_lines == 50
    assert len(read_lines(pipe[0])) == MAX_BURST_ERROR_LINES


@pytest.mark.parametrize("level", [logging.INFO, logging.ERROR])
def test_line_that_is_too_long_is_replaced_by_a_short_one(output, pipe, level) -> None:
    # An error's text held what a caller had sent, and its line held it twice.
    text = "\0" * 300_000
    try:
        raise ValueError(text)
    except ValueError:
        record = line(text, level, request="r1", detail=text)
        record.exc_info = sys.exc_info()
    output.emit(record)
    data = os.read(pipe[0], 1_000_000)
    assert len(data) <= MAX_LINE_BYTES
    found = json.loads(data)
    assert found["request"] == "r1"
    assert found["event"] == text[:500]
    assert found["cut_from_bytes"] > len(text)
    assert found["exc_info_end"]
