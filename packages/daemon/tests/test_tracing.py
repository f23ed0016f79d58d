"""Spans: exported for each hop if a destination is set, else only propagated."""

import json
import subprocess
import sys
from pathlib import Path

from opentelemetry.trace import INVALID_SPAN

from sardinequay_daemon.shared_settings import TraceSettings
from sardinequay_daemon.tracing import Tracing, trace_id

TRACE = "0af7651916cd43dd8448eb211c80319c"
CALLER = {"traceparent": f"00-{TRACE}-b7ad6b7169203331-01"}


def test_spans_of_both_hops_are_written_to_the_file(tmp_path: Path) -> None:
    file = tmp_path / "spans"
    tracing = Tracing(TraceSettings(file=str(file)), "h1")
    hop = tracing.server_span("request", CALLER)
    further = tracing.child_span("attempt", hop)
    sent = tracing.propagation_headers(further)
    further.end()
    hop.end()
    tracing.shutdown()
    spans = [json.loads(line) for line in file.read_text().splitlines()]
    assert {s["name"] for s in spans} == {"request", "attempt"}
    assert {s["context"]["trace_id"] for s in spans} == {f"0x{TRACE}"}
    assert TRACE in sent["traceparent"]


def test_without_a_destination_the_context_is_propagated() -> None:
    tracing = Tracing(TraceSettings(), "h1")
    hop = tracing.server_span("request", CALLER)
    assert trace_id(hop) == TRACE
    assert tracing.propagation_headers(tracing.child_span("attempt", hop)) == CALLER
    assert tracing.server_span("request", {}) is INVALID_SPAN
    tracing.shutdown()


def test_without_a_destination_the_sdk_is_not_loaded() -> None:
    code = (
        "import sys\n"
        "from sardinequay_daemon.tracing import Tracing\n"
        "from sardinequay_daemon.shared_settings import TraceSettings\n"
        "Tracing(TraceSettings(), 'h1')\n"
        "sys.exit(any(m.startswith('opentelemetry.sdk') for m in sys.modules))\n"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
