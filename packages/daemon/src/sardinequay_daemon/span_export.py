"""Export of finished spans to the destinations in the settings.

This module is imported only if the settings name a destination: few hosts trace, and
the SDK of the library takes memory and time at each start.
"""

import json
from collections.abc import Sequence
from pathlib import Path

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio

from .shared_settings import TraceSettings


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


def create_exporters(settings: TraceSettings) -> list[SpanExporter]:
    """Return the exporters for the destinations in the settings."""
    chosen: list[SpanExporter] = []
    if settings.otlp:
        # Imported only when needed, because it loads an HTTP client library.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        chosen.append(OTLPSpanExporter(endpoint=settings.otlp))
    if settings.file:
        chosen.append(FileSpanExporter(Path(settings.file)))
    return chosen


def create_tracer_provider(settings: TraceSettings, host_id: str) -> TracerProvider:
    """Return a tracer provider that exports spans as the settings say."""
    provider = TracerProvider(
        sampler=ParentBasedTraceIdRatio(settings.sample),
        resource=Resource({"service.name": "sardinequayd", "host.name": host_id}),
        shutdown_on_exit=False,
    )
    for exporter in create_exporters(settings):
        provider.add_span_processor(BatchSpanProcessor(exporter))
    return provider
