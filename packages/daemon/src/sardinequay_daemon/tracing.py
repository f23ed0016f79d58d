"""Traces: a span for each hop, with W3C context in and out."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import (
    INVALID_SPAN,
    NonRecordingSpan,
    Span,
    SpanKind,
    Tracer,
    get_current_span,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .shared_settings import TraceSettings

PROPAGATOR = TraceContextTextMapPropagator()
TRACE_HEADER = "traceparent"


class FileSpanExporter(SpanExporter):
    """Writes each finished span as a line of JSON."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write finished spans."""
        for span in spans:
            print(json.dumps(json.loads(span.to_json())), file=self.file)
        self.file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self.file.close()


class Tracing:
    """Makes spans and carries their context over HTTP headers."""

    def __init__(self, settings: TraceSettings, host_id: str) -> None:
        resource = Resource({"service.name": "sardinequayd", "host.name": host_id})
        destinations = exporters(settings)
        self.is_exporting = bool(destinations)
        self.provider = TracerProvider(
            sampler=ParentBasedTraceIdRatio(settings.sample),
            resource=resource,
            shutdown_on_exit=False,
        )
        for exporter in destinations:
            self.provider.add_span_processor(BatchSpanProcessor(exporter))
        self.tracer: Tracer = self.provider.get_tracer("sardinequay")

    def server_span(self, name: str, headers: Mapping[str, str]) -> Span:
        """Start the span of a request that came with these headers.

        Without a destination the span only carries the caller's context on.
        """
        if not self.is_exporting and TRACE_HEADER not in headers:
            return INVALID_SPAN
        context = PROPAGATOR.extract(headers)
        if not self.is_exporting:
            return get_current_span(context)
        return self.tracer.start_span(name, context, kind=SpanKind.SERVER)

    def child_span(self, name: str, parent: Span) -> Span:
        """Start the span of a hop that a request makes."""
        if not parent.is_recording():
            return NonRecordingSpan(parent.get_span_context())
        context = set_span_in_context(parent)
        return self.tracer.start_span(name, context, kind=SpanKind.CLIENT)

    def headers(self, span: Span) -> dict[str, str]:
        """Return the headers that carry a span's context on."""
        carrier: dict[str, str] = {}
        if span is not INVALID_SPAN:
            PROPAGATOR.inject(carrier, set_span_in_context(span))
        return carrier

    def shut_down(self) -> None:
        """Export what is left."""
        self.provider.shutdown()


def exporters(settings: TraceSettings) -> list[SpanExporter]:
    """Return where spans go."""
    chosen: list[SpanExporter] = []
    if settings.otlp:
        # Imported where it is asked for: it takes 4 MB of a host's 64.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        chosen.append(OTLPSpanExporter(endpoint=settings.otlp))
    if settings.file:
        chosen.append(FileSpanExporter(Path(settings.file)))
    return chosen


def trace_id(span: Span) -> str:
    """Return a span's trace id as logs and answers show it."""
    return f"{span.get_span_context().trace_id:032x}"
